#include "restart/state_file.hpp"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "restart/atomic_file.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

json read_json(const std::string& path) {
  constexpr bool kAllowExceptions = false;
  return json::parse(read_file(path), nullptr, kAllowExceptions);
}

std::error_code write_json(const std::string& path, const json& content) {
  return replace_file(path, content.dump(), Durability::kUnsynced);
}

}  // namespace

StateFiles::StateFiles(std::string directory)
    : directory_(std::move(directory)),
      owner_path_(directory_ + "/owner.json"),
      state_path_(directory_ + "/state.json"),
      attempts_path_(directory_ + "/open.json") {}

OwnerRecord StateFiles::read_owner() const {
  OwnerRecord owner;
  const json stored = read_json(owner_path_);
  if (!stored.is_object()) return owner;
  const auto token = stored.find("token");
  if (token != stored.end() && token->is_string()) owner.token = token->get<std::string>();
  const auto clock = stored.find("clock");
  if (clock != stored.end() && clock->is_number_integer()) owner.clock_offset = clock->get<Duration>();
  return owner;
}

std::error_code StateFiles::write_owner(const std::string& token, Duration clock_offset) const {
  return write_json(owner_path_, {{"token", token}, {"clock", clock_offset}});
}

std::optional<HotRestartState> StateFiles::read_state(const std::string& recipient) const {
  const json stored = read_json(state_path_);
  try {
    if (stored.at("for") != recipient) return std::nullopt;
    return HotRestartState{
        .customers = stored.at("customers").get<decltype(HotRestartState::customers)>(),
        .endpoints = stored.at("servers").get<decltype(HotRestartState::endpoints)>(),
        .fleet = stored.at("fleet").get<HotRestartState::Values>(),
        // Earlier builds do not store them.
        .requests = stored.value("requests", decltype(HotRestartState::requests){}),
    };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::error_code StateFiles::write_state(const std::string& recipient, const HotRestartState& state) const {
  return write_json(state_path_, {{"for", recipient},
                                  {"customers", state.customers},
                                  {"servers", state.endpoints},
                                  {"fleet", state.fleet},
                                  {"requests", state.requests}});
}

void StateFiles::remove_state() const { ::unlink(state_path_.c_str()); }

std::optional<AttemptCounts> StateFiles::read_attempts(const std::string& recipient) const {
  const json stored = read_json(attempts_path_);
  try {
    if (stored.at("for") != recipient) return std::nullopt;
    return stored.at("open").get<AttemptCounts>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::error_code StateFiles::write_attempts(const std::string& recipient,
                                           const AttemptCounts& attempts) const {
  return write_json(attempts_path_, {{"for", recipient}, {"open", attempts}});
}

}  // namespace quota_gateway::net
