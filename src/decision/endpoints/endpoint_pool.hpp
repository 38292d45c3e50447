// All endpoints known to this gateway. The pool owns their state, applies endpoint lists and operators'
// changes to it, and passes each event on to the modules concerned.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "decision/endpoints/attempt_report.hpp"
#include "decision/endpoints/concurrency_limit.hpp"
#include "decision/endpoints/endpoint.hpp"
#include "decision/endpoints/endpoint_picker.hpp"
#include "decision/endpoints/outlier_ejection.hpp"
#include "decision/endpoints/slow_start.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// The public interface of the endpoints module.
class EndpointPool {
 public:
  using Filter = EndpointFilter;

  // The settings must outlive the pool.
  EndpointPool(const Settings& settings, std::uint64_t seed);
  ~EndpointPool() = default;
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;
  EndpointPool(EndpointPool&&) = delete;
  EndpointPool& operator=(EndpointPool&&) = delete;

  // Applies an endpoint list, or changes to it.
  void update(TimePoint now, const EndpointListUpdate& update);

  // Disables or enables an endpoint as an operator requested, whether or not the list contains it.
  void update(TimePoint now, const AdminStateChanged& event);

  // Sets how far (us) the wall clock, by which endpoints report start times, is ahead of the event time.
  void set_wall_offset(Duration offset) { slow_start_.set_wall_offset(offset); }

  // Returns the endpoint where an attempt of `work` (seconds) is expected to end first, or null if none has
  // capacity. `mean_latency` (us) is that of the request class; `restricted` says that `is_allowed` excludes
  // more than a few endpoints.
  Endpoint* pick(TimePoint now, double work, double mean_latency, bool restricted, const Filter& is_allowed);

  // Records that an attempt of `work` (seconds) has been sent to the endpoint.
  void on_attempt_sent(TimePoint now, Endpoint& endpoint, double work);

  // Records the end of an attempt. Returns true if the endpoint is ejected because of this attempt.
  bool on_attempt_ended(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

  // Called once per period: updates the load of fully started endpoints and the weights for picking.
  void on_period(TimePoint now);

  // Returns the fraction of the capacity for attempts in flight that is in use, from 0 to 1.
  double utilization(TimePoint now);

  // Returns the number of endpoints in the list, and of those that are disabled or ejected.
  [[nodiscard]] DecisionEngine::EndpointCounts count(TimePoint now) const;

  // Adds the state of all endpoints to the state for a hot restart.
  void save_state(HotRestartState& state);

  // Restores one endpoint; values from another build are ignored.
  void restore_endpoint(const std::string& name, const HotRestartState::Values& values);

  // Visits the values of the whole fleet that a hot restart passes on. The order must not change: they are
  // restored by position.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    concurrency_limit_.visit_fields(visit);
    slow_start_.visit_fields(visit);
  }

 private:
  Endpoint& find_or_create(const std::string& name);
  void remove_all_from_list(TimePoint now);
  void apply_list_entry(TimePoint now, const EndpointEntry& entry);
  void on_endpoint_started(TimePoint now, Endpoint& endpoint);
  void end_expired_ejections(TimePoint now, double mean_latency);
  void on_endpoint_changed(TimePoint now, Endpoint& endpoint, double mean_latency);

  std::map<std::string, Endpoint> endpoints_;  // the other modules keep pointers to the values
  FleetStatus fleet_;
  SlowStart slow_start_;
  OutlierEjection outlier_ejection_;
  ConcurrencyLimit concurrency_limit_;
  EndpointPicker picker_;
  // Endpoints listed before the initial list is complete were running before this gateway started.
  bool is_initial_list_complete_ = false;
  TimePoint first_update_at_ = 0;  // 0: none yet
};

}  // namespace quota_gateway::decision
