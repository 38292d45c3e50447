// Owns the modules of the decision engine, which are in this directory, and routes events to them.
#include "quota_gateway/decision_engine.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decision/admission.hpp"
#include "decision/admission_queue.hpp"
#include "decision/attempt_dispatcher.hpp"
#include "decision/attempt_events.hpp"
#include "decision/attempt_results.hpp"
#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/field_serialization.hpp"
#include "decision/latency_model.hpp"
#include "decision/numeric.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/rate_limited_log.hpp"
#include "decision/rejection_log.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_factory.hpp"
#include "decision/request_history.hpp"
#include "decision/request_state.hpp"
#include "decision/retry_budget.hpp"
#include "decision/retry_handler.hpp"
#include "decision/service_catalog.hpp"
#include "decision/slow_attempt_check.hpp"

namespace quota_gateway {
namespace {

// Raises settings that are too low to their minimum.
Settings normalize(Settings settings) {
  settings.gateway_count = std::max(1, settings.gateway_count);
  settings.max_request_units = std::max(1.0, settings.max_request_units);
  return settings;
}

// Deducts `units` from the hard limit tokens in a customer's serialized state.
void deduct_hard_limit_tokens(HotRestartState::Values& values, double units) {
  decision::CustomerQuota customer;
  decision::deserialize_fields(customer, values);
  customer.hard_limit_tokens -= units;
  values = decision::serialize_fields(customer);
}

}  // namespace

// Each module refers only to modules that are declared before it.
class DecisionEngine::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed);

  [[nodiscard]] EndpointCounts count_endpoints(TimePoint now) const { return endpoints_.count(now); }
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const { return slices_.attempts_in_flight(); }
  HotRestartState begin_hot_restart();
  void handle(TimePoint now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Visits the values of HotRestartState::fleet. Their order must not change: the state is stored as a plain
  // list of numbers, and the process that reads it may be another build, which assigns values by position.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    slices_.visit_fields(visit);
    endpoints_.visit_fields(visit);
    latencies_.visit_fields(visit);
    retry_budget_.visit_fields(visit);
  }

 private:
  void on_event(const EndpointListUpdate& event);
  void on_event(const AdminStateChanged& event);
  void on_event(const RequestArrived& event);
  void on_event(const RequestBodyCompleted& event) { attempt_events_.on_body_completed(event); }
  void on_event(const ResponseBegun& event) { attempt_events_.on_response_begun(event); }
  void on_event(const ResponseStarted& event) { attempt_events_.on_response_started(event); }
  void on_event(const AttemptEnded& event) { attempt_events_.on_attempt_ended(event); }
  void on_event(const RequestCancelled& event);
  void on_event(const TimerFired& event);
  void on_event(const ProbeEnded&) {}
  void on_event(const CounterReply& event);
  void on_event(const WallClockStepped& event);
  void on_event(const StateRestored& event);
  void on_event(const PredecessorAttempts& event) { slices_.set_predecessor_attempts(event.in_flight); }
  void on_event(const HotRestartAborted&) { admission_.resume(); }

  void start();
  void on_period();
  void on_request_timer(const decision::RequestTimer& timer);

  const Settings settings_;
  const std::uint64_t seed_;
  decision::DecisionContext context_{settings_};
  decision::ServiceCatalog catalog_{settings_};
  decision::QuotaSlices slices_;
  decision::EndpointPool endpoints_;
  decision::LatencyModel latencies_{settings_, catalog_};
  decision::RetryBudget retry_budget_;
  decision::RateLimitedLog log_{context_};
  decision::RejectionLog rejections_{context_};
  decision::RequestHistory history_{context_};
  decision::RequestTable requests_{context_, history_};
  decision::RequestFactory request_factory_{context_, catalog_, slices_, latencies_, requests_, history_};
  decision::AttemptDispatcher dispatcher_{context_, requests_, endpoints_, latencies_, retry_budget_};
  decision::RequestCompletion completion_{context_, latencies_, rejections_};
  decision::AdmissionQueue queue_{context_, requests_, dispatcher_, completion_, log_};
  decision::Admission admission_{context_,
                                 {.requests = requests_,
                                  .slices = slices_,
                                  .dispatcher = dispatcher_,
                                  .queue = queue_,
                                  .completion = completion_,
                                  .rejections = rejections_}};
  decision::AttemptResults results_{context_, slices_, endpoints_, latencies_, log_};
  decision::RetryHandler retries_{context_, dispatcher_, queue_, completion_, retry_budget_};
  decision::AttemptEventHandler attempt_events_{requests_, dispatcher_, results_, retries_, completion_};
  decision::SlowAttemptCheck slow_attempts_{context_, dispatcher_, retry_budget_};
  TimePoint next_period_at_ = 0;
  bool is_started_ = false;
};

DecisionEngine::Impl::Impl(Settings settings, std::uint64_t seed)
    : settings_(normalize(std::move(settings))),
      seed_(seed),
      slices_(settings_, decision::mix_bits(seed + 2)),
      endpoints_(settings_, decision::mix_bits(seed + 1)) {}

void DecisionEngine::Impl::handle(TimePoint now, const std::vector<Event>& events,
                                  std::vector<Action>& actions) {
  context_.begin_batch(now, actions);
  if (!is_started_) start();
  for (const Event& event : events) std::visit([this](const auto& typed) { on_event(typed); }, event);
  queue_.dispatch();
}

void DecisionEngine::Impl::start() {
  is_started_ = true;
  if (settings_.subscribe_to_endpoints) context_.emit(SubscribeToEndpoints{});
  // The seed offsets the gateways' periods, so that they do not all call the counter at once.
  const auto phase = Duration(decision::mix_bits(seed_) % std::uint64_t(decision::kMaintenancePeriod));
  next_period_at_ = context_.now() + 1 + phase;
  context_.emit(SetTimer{next_period_at_, decision::kMaintenanceTimer});
}

void DecisionEngine::Impl::on_period() {
  endpoints_.on_period(context_.now());
  rejections_.report_if_due();
  // After the state has been passed on, the successor accounts for the use of the slices.
  if (!admission_.is_suspended()) slices_.on_period(context_.now(), context_.actions());
  // Periods that passed before a late batch are skipped.
  next_period_at_ = std::max(next_period_at_ + decision::kMaintenancePeriod, context_.now());
  context_.emit(SetTimer{next_period_at_, decision::kMaintenanceTimer});
}

void DecisionEngine::Impl::on_event(const EndpointListUpdate& event) {
  endpoints_.update(context_.now(), event);
  if (event.kind != EndpointListUpdate::Kind::kError || !settings_.subscribe_to_endpoints) return;
  log_.write(decision::LogKind::kSubscriptionFailed,
             "endpoints: subscription to the endpoint list failed: subscribing again");
  const Duration retry_interval = settings_.max_subscribe_delay / 8;
  context_.emit(SetTimer{context_.now() + retry_interval, decision::kResubscribeTimer});
}

void DecisionEngine::Impl::on_event(const AdminStateChanged& event) {
  endpoints_.update(context_.now(), event);
  if (event.disabled)
    log_.write(decision::LogKind::kEndpointDisabled,
               "endpoints: " + event.endpoint + " disabled: administrative state change");
  else
    log_.write(decision::LogKind::kEndpointEnabled,
               "endpoints: " + event.endpoint + " enabled: administrative state change");
}

void DecisionEngine::Impl::on_event(const RequestArrived& event) {
  if (!history_.is_admissible(event, catalog_.request_class(event.request_class)))
    return admission_.fail_repeated_request(event);
  if (decision::Request* request = request_factory_.create(event))
    admission_.on_request(event, *request);
  else
    admission_.reject_excess_customer(event);
}

void DecisionEngine::Impl::on_event(const RequestCancelled& event) {
  decision::Request* request = requests_.find(event.id);
  if (request == nullptr) return;
  completion_.finish(*request);
  requests_.erase_if_complete(*request);
}

void DecisionEngine::Impl::on_event(const TimerFired& event) {
  if (event.token == decision::kMaintenanceTimer) {
    on_period();
  } else if (event.token == decision::kResubscribeTimer) {
    context_.emit(SubscribeToEndpoints{});
  } else if (const auto timer = requests_.remove_timer(event.token)) {
    on_request_timer(*timer);
  }
}

void DecisionEngine::Impl::on_request_timer(const decision::RequestTimer& timer) {
  decision::Request* request = requests_.find(timer.request_id);
  if (request == nullptr || request->is_finished()) return;
  switch (timer.purpose) {
    case decision::RequestTimer::Purpose::kCheckSlowAttempt:
      slow_attempts_.on_check_due(*request, timer.attempt);
      break;
    case decision::RequestTimer::Purpose::kDecideWithoutTotal:
      admission_.on_total_timeout(*request);
      break;
    case decision::RequestTimer::Purpose::kQueueDeadline:
      break;  // the queue is dispatched after each batch
  }
}

void DecisionEngine::Impl::on_event(const CounterReply& event) {
  admission_.on_counter_reply(event);
  if (event.outcome != CounterOutcome::kOk)
    log_.write(decision::LogKind::kCounterFailed,
               "counter: increment failed: no reply or not added; the last totals stay in use");
}

void DecisionEngine::Impl::on_event(const WallClockStepped& event) {
  endpoints_.set_wall_offset(event.offset);
  slices_.set_wall_offset(context_.now(), event.offset);
}

void DecisionEngine::Impl::on_event(const StateRestored& event) {
  for (const auto& [name, plan_and_values] : event.state.customers) {
    const auto& [plan_name, values] = plan_and_values;
    const PlanSettings* plan = catalog_.find_plan(plan_name);
    if (plan != nullptr) slices_.restore_customer(name, *plan, values);
  }
  for (const auto& [name, values] : event.state.endpoints) endpoints_.restore_endpoint(name, values);
  history_.restore(event.state.requests);
  decision::deserialize_fields(*this, event.state.fleet);  // ignores the state of another build
}

HotRestartState DecisionEngine::Impl::begin_hot_restart() {
  HotRestartState state;
  admission_.suspend();
  slices_.save_state(state);
  endpoints_.save_state(state);
  state.fleet = decision::serialize_fields(*this);
  state.requests = history_.save();
  // This process will still send the requests in its queue, so their units are deducted from the hard limit
  // tokens that the successor receives.
  for (const decision::Request* request : queue_.unsent_requests())
    for (auto& [name, plan_and_values] : state.customers)
      if (slices_.find(name) == request->customer)
        deduct_hard_limit_tokens(plan_and_values.second, request->units);
  return state;
}

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

DecisionEngine::EndpointCounts DecisionEngine::count_endpoints(TimePoint now) const {
  return impl_->count_endpoints(now);
}

HotRestartState DecisionEngine::begin_hot_restart(TimePoint) { return impl_->begin_hot_restart(); }

std::map<std::string, int> DecisionEngine::attempts_in_flight() const { return impl_->attempts_in_flight(); }

void DecisionEngine::handle(TimePoint now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}

}  // namespace quota_gateway
