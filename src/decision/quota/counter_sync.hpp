// Synchronizes the customers' demand with the other gateways through the shared counter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/quota/counter_epoch.hpp"
#include "decision/quota/counter_pacer.hpp"
#include "decision/quota/customer_quota.hpp"
#include "decision/quota/unreported_fraction.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Sends increments with the demand that was met here, and estimates the remote demand from the totals that
// come back. Owns the increments in flight, the pace of the calls and the epochs; the customers are
// QuotaSlices'.
class CounterSync {
 public:
  // An increment that the counter has not replied to yet.
  struct PendingIncrement {
    std::string customer_id;
    double units = 0;  // before scaling
  };

  explicit CounterSync(const Settings& settings) : settings_(settings) {}

  // Sends the customer's unreported demand to the counter if that is due. Returns whether the customer's
  // first total is in flight and worth waiting for.
  bool sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                   std::vector<Action>& actions);

  // The same for the periodic pass over all customers, which also measures how much demand is unreported.
  // `finish_period` ends the pass.
  void sync_periodically(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                         std::vector<Action>& actions);
  void finish_period() { unreported_fraction_.finish_period(); }

  // Takes note of a reply or a failure and adapts the pace. Returns the increment that it belongs to, if any;
  // `apply_reply` is to follow with its customer.
  std::optional<PendingIncrement> on_reply(TimePoint now, const CounterReply& reply);

  // Updates the customer's remote demand and tokens by the reply to one of its increments.
  void apply_reply(TimePoint now, const CounterReply& reply, const PendingIncrement& increment,
                   CustomerQuota& customer);

  // The customer's units in increments without a reply.
  [[nodiscard]] double units_in_flight(const std::string& customer_id) const;

  // As for CounterEpochClock.
  bool set_wall_offset(TimePoint now, Duration offset) { return epoch_clock_.set_wall_offset(now, offset); }

  CounterPacer& pacer() { return pacer_; }

 private:
  void start_epoch_if_due(TimePoint now, CustomerQuota& customer) const;
  void send_increment(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                      std::vector<Action>& actions);
  void apply_total(TimePoint now, double total, CustomerQuota& customer) const;
  [[nodiscard]] double remote_unreported_fraction(const CustomerQuota& customer) const;

  const Settings& settings_;
  CounterPacer pacer_;
  CounterEpochClock epoch_clock_;
  UnreportedFraction unreported_fraction_;
  std::unordered_map<std::int64_t, PendingIncrement> pending_;  // by counter name
};

}  // namespace quota_gateway::decision
