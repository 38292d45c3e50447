#include "decision/request_history.hpp"

#include "decision/hash.hpp"

namespace quota_gateway::decision {
namespace {

// How long a request is remembered after its end.
constexpr Duration kRetention = 60'000'000;  // us
// How much of the window in which endpoints recognize a key may have passed when its request comes again.
constexpr double kMaxWindowFraction = 0.5;

bool is_remembered(const RequestArrived& request, const ClassSettings& request_class) {
  return request_class.idempotency != Idempotency::kIdempotent && !request.client_request_id.empty();
}

ClientRequestKey key_of(const RequestArrived& request) {
  const std::uint64_t hash = hash_text(request.client_request_id);
  return hash == 0 ? 1 : hash;
}

}  // namespace

bool RequestHistory::is_admissible(const RequestArrived& request, const ClassSettings& request_class) const {
  if (!is_remembered(request, request_class)) return true;
  const auto found = entries_.find(key_of(request));
  if (found == entries_.end()) return true;
  const Entry& entry = found->second;
  const bool is_recognized_everywhere =
      request_class.idempotency == Idempotency::kByKey && request_class.dedup_scope == DedupScope::kAll;
  if (!is_recognized_everywhere) return false;
  const auto max_age = Duration(kMaxWindowFraction * double(request_class.dedup_window));
  return entry.idempotency_key_hash == hash_text(request.idempotency_key) &&
         context_.now() - entry.started_at < max_age;
}

ClientRequestKey RequestHistory::on_started(const RequestArrived& request,
                                            const ClassSettings& request_class) {
  if (!is_remembered(request, request_class)) return 0;
  const ClientRequestKey key = key_of(request);
  const auto [entry, is_new] = entries_.try_emplace(key);
  if (is_new) {
    entry->second.started_at = context_.now();
    entry->second.idempotency_key_hash = hash_text(request.idempotency_key);
  }
  ++entry->second.in_progress;
  return key;
}

void RequestHistory::on_ended(ClientRequestKey key, bool may_have_executed) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) return;
  --entry->second.in_progress;
  entry->second.may_have_executed = entry->second.may_have_executed || may_have_executed;
  if (entry->second.in_progress > 0) return;
  if (entry->second.may_have_executed) {
    list_as_ended(entry);
    forget_oldest();
  } else {
    entries_.erase(entry);
  }
}

void RequestHistory::list_as_ended(Entries::iterator entry) {
  if (entry->second.is_listed) ended_.erase(entry->second.position);
  entry->second.ended_at = context_.now();
  entry->second.position = ended_.insert(ended_.end(), entry->first);
  entry->second.is_listed = true;
}

// Forgets requests that ended long ago, and more of them if too many are remembered. Those that have come
// again since are kept until they end.
void RequestHistory::forget_oldest() {
  const std::size_t max_entries = context_.settings().max_remembered_requests;
  while (!ended_.empty()) {
    const auto oldest = entries_.find(ended_.front());
    const bool is_expired = context_.now() - oldest->second.ended_at > kRetention;
    const bool is_excess = max_entries != 0 && ended_.size() > max_entries;
    if (!is_expired && !is_excess) return;
    ended_.pop_front();
    oldest->second.is_listed = false;
    if (oldest->second.in_progress == 0) entries_.erase(oldest);
  }
}

std::vector<ClientRequestKey> RequestHistory::save() const {
  std::vector<ClientRequestKey> keys;
  keys.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) keys.push_back(key);
  return keys;
}

void RequestHistory::restore(const std::vector<ClientRequestKey>& keys) {
  for (const ClientRequestKey key : keys) {
    const auto entry = entries_.try_emplace(key).first;
    entry->second.may_have_executed = true;
    list_as_ended(entry);
  }
  forget_oldest();
}

}  // namespace quota_gateway::decision
