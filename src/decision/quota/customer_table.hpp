// The quota state of the customers, with a limit on their number.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Keeps the customers ordered by their IDs, and remembers whose last request is oldest. At the limit, a new
// customer replaces one of those, if there is one that may be forgotten.
class CustomerTable {
 public:
  // Returns whether the state of the customer may be forgotten.
  using CanForget = std::function<bool(CustomerQuota&)>;

  // 0: no limit.
  explicit CustomerTable(std::size_t max_customers) : max_customers_(max_customers) {}

  // Returns the customer, or null if there is no state for it.
  [[nodiscard]] CustomerQuota* find(const std::string& customer_id);
  // Returns the customer, created if it is new, as the one whose last request is the most recent. Returns
  // null if there is no room for a new one.
  CustomerQuota* find_or_create(const std::string& customer_id, const CanForget& can_forget);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  // Calls `visit(customer_id, customer)` for all customers in the order of their IDs.
  template <typename Visitor>
  void for_each(Visitor visit) {
    for (auto& [customer_id, entry] : entries_) visit(customer_id, entry.quota);
  }
  template <typename Visitor>
  void for_each(Visitor visit) const {
    for (const auto& [customer_id, entry] : entries_) visit(customer_id, entry.quota);
  }
  // Erases the customers for which `predicate(customer_id, customer)` returns true.
  template <typename Predicate>
  void erase_if(Predicate predicate) {
    for (auto next = entries_.begin(); next != entries_.end();) {
      const auto current = next++;
      if (predicate(current->first, current->second.quota)) erase(current);
    }
  }

 private:
  using RecencyList = std::list<const std::string*>;  // IDs; the one with the oldest request is first
  struct Entry {
    CustomerQuota quota;
    RecencyList::iterator recency;
  };
  using Entries = std::map<std::string, Entry>;

  bool make_room(const CanForget& can_forget);
  void erase(Entries::iterator entry);

  const std::size_t max_customers_;
  Entries entries_;
  RecencyList recency_;
};

}  // namespace quota_gateway::decision
