#include "restart/disabled_endpoints.hpp"

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "restart/atomic_file.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

constexpr Duration kStoreRetryInterval = 50'000;  // us
constexpr Duration kStoreTimeout = 700'000;       // us; operators get a response within one second
constexpr Duration kFileCheckInterval = 50'000;   // us

std::optional<std::set<std::string>> parse_endpoints(const std::string& content) {
  constexpr bool kAllowExceptions = false;
  const json stored = json::parse(content, nullptr, kAllowExceptions);
  if (!stored.is_array()) return std::nullopt;
  std::set<std::string> endpoints;
  for (const json& endpoint : stored) {
    if (endpoint.is_string()) endpoints.insert(endpoint.get<std::string>());
  }
  return endpoints;
}

}  // namespace

DisabledEndpoints::DisabledEndpoints(Timers& timers, const std::string& directory, ChangeCallback on_change)
    : timers_(timers),
      path_(directory.empty() ? "" : directory + "/disabled.json"),
      on_change_(std::move(on_change)) {}

void DisabledEndpoints::start() {
  if (is_persistent()) check_file();
}

void DisabledEndpoints::check_file() {
  load();
  timers_.schedule_after(kFileCheckInterval, [this] { check_file(); });
}

void DisabledEndpoints::set(const std::string& endpoint, bool disabled, StoredCallback on_stored) {
  store_or_retry({.endpoint = endpoint,
                  .disabled = disabled,
                  .on_stored = std::move(on_stored),
                  .deadline = timers_.now() + kStoreTimeout});
}

void DisabledEndpoints::store_or_retry(PendingChange change) {
  if (is_persistent()) load();  // The other process may have changed the file since the last check.
  std::set<std::string> endpoints = endpoints_;
  const bool is_change =
      change.disabled ? endpoints.insert(change.endpoint).second : endpoints.erase(change.endpoint) > 0;
  const std::error_code error = store(endpoints);
  if (!error) {
    endpoints_ = std::move(endpoints);
    if (is_change) on_change_(change.endpoint, change.disabled);
    change.on_stored(true);
    return;
  }
  if (timers_.now() >= change.deadline) {
    std::cerr << "disabled endpoints: cannot write " << path_ << ": " << error.message() << '\n';
    change.on_stored(false);
    return;
  }
  timers_.schedule_after(kStoreRetryInterval,
                         [this, change = std::move(change)]() mutable { store_or_retry(std::move(change)); });
}

void DisabledEndpoints::load() {
  const std::string content = read_file(path_);
  if (content.empty() || content == stored_content_) return;
  const std::optional<std::set<std::string>> endpoints = parse_endpoints(content);
  if (!endpoints) return;
  stored_content_ = content;
  apply(*endpoints);
}

void DisabledEndpoints::apply(const std::set<std::string>& endpoints) {
  const std::set<std::string> previous = std::exchange(endpoints_, endpoints);
  for (const std::string& endpoint : previous) {
    if (!endpoints.contains(endpoint)) on_change_(endpoint, false);
  }
  for (const std::string& endpoint : endpoints) {
    if (!previous.contains(endpoint)) on_change_(endpoint, true);
  }
}

std::error_code DisabledEndpoints::store(const std::set<std::string>& endpoints) {
  if (!is_persistent()) return {};
  const std::string content = json(endpoints).dump();
  const std::error_code error = replace_file(path_, content, Durability::kSynced);
  if (!error) stored_content_ = content;
  return error;
}

}  // namespace quota_gateway::net
