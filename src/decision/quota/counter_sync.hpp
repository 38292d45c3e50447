// Shares the customers' demand with the other gateways through the shared counter.
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

// Sends increments with the demand at this gateway, and estimates the demand at the other gateways from the
// totals in the replies. Owns the increments in flight, the call pacer and the epoch clock; QuotaSlices owns
// the customers.
class CounterSync {
 public:
  // An increment that the counter has not replied to yet.
  struct PendingIncrement {
    std::string customer_id;
    double units = 0;  // before scaling
  };

  explicit CounterSync(const Settings& settings) : settings_(settings) {}

  // Sends the customer's unreported demand to the counter if that is due. Returns whether a request should
  // wait for the reply: an increment is in flight, the customer has no recent total, and the counter is not
  // unavailable.
  bool sync_if_due(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                   std::vector<Action>& actions);

  // The same for the periodic pass over all customers, which also measures how much demand is unreported.
  // Call `finish_period` at the end of the pass.
  void sync_periodically(TimePoint now, const std::string& customer_id, CustomerQuota& customer,
                         std::vector<Action>& actions);
  void finish_period() { unreported_fraction_.finish_period(); }

  // Adapts the rate of calls to a reply or failure. Returns the increment that it belongs to, which the
  // caller must pass to `apply_reply`, or std::nullopt if there is none.
  std::optional<PendingIncrement> on_reply(TimePoint now, const CounterReply& reply);

  // Updates the customer's remote demand and tokens from the reply to one of its increments.
  void apply_reply(TimePoint now, const CounterReply& reply, const PendingIncrement& increment,
                   CustomerQuota& customer);

  // Returns the units in the customer's increments that have no reply yet.
  [[nodiscard]] double units_in_flight(const std::string& customer_id) const;

  // See CounterEpochClock::set_wall_offset.
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
