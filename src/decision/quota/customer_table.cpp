#include "decision/quota/customer_table.hpp"

namespace quota_gateway::decision {
namespace {

// How many of the customers with the oldest requests are examined to find one that may be forgotten.
constexpr int kMaxForgetCandidates = 32;

}  // namespace

CustomerQuota* CustomerTable::find(const std::string& customer_id) {
  const auto found = entries_.find(customer_id);
  return found == entries_.end() ? nullptr : &found->second.quota;
}

CustomerQuota* CustomerTable::find_or_create(const std::string& customer_id, const CanForget& can_forget) {
  const auto found = entries_.find(customer_id);
  if (found != entries_.end()) {
    recency_.splice(recency_.end(), recency_, found->second.recency);
    return &found->second.quota;
  }
  if (max_customers_ != 0 && entries_.size() >= max_customers_ && !make_room(can_forget)) return nullptr;
  const auto created = entries_.try_emplace(customer_id).first;
  created->second.recency = recency_.insert(recency_.end(), &created->first);
  return &created->second.quota;
}

bool CustomerTable::make_room(const CanForget& can_forget) {
  int examined = 0;
  for (const std::string* customer_id : recency_) {
    if (examined++ == kMaxForgetCandidates) return false;
    const auto candidate = entries_.find(*customer_id);
    if (!can_forget(candidate->second.quota)) continue;
    erase(candidate);
    return true;
  }
  return false;
}

void CustomerTable::erase(Entries::iterator entry) {
  recency_.erase(entry->second.recency);
  entries_.erase(entry);
}

}  // namespace quota_gateway::decision
