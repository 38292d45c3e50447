// Decodes endpoint lists and events from JSON messages of the simulator's line protocol.
#include <utility>

#include "adapter/codec.hpp"

namespace quota_gateway::wire {
namespace {

const EnumNames<Outcome> kOutcomeNames = {{"GOOD", Outcome::kOk},         {"BAD", Outcome::kError},
                                          {"FULL", Outcome::kOverloaded}, {"LATE", Outcome::kTimeout},
                                          {"RST", Outcome::kReset},       {"NOCONN", Outcome::kConnectFailed},
                                          {"NOP", Outcome::kNotSent},     {"CXL", Outcome::kCancelled}};
const EnumNames<CounterOutcome> kCounterOutcomeNames = {{"GOOD", CounterOutcome::kOk},
                                                        {"FULL", CounterOutcome::kNotAdded},
                                                        {"NOCONN", CounterOutcome::kNotAdded}};
const EnumNames<EndpointState> kEndpointStateNames = {{"draining", EndpointState::kDraining},
                                                      {"removed", EndpointState::kRemoved}};
const EnumNames<EndpointListUpdate::Kind> kListKindNames = {
    {"Partial", EndpointListUpdate::Kind::kPartial},
    {"Complete", EndpointListUpdate::Kind::kComplete},
    {"Persisted", EndpointListUpdate::Kind::kPersisted}};

Outcome parse_outcome(const Json& message) {
  const auto name = required_field<std::string>(message, "Disposition");
  const auto entry = kOutcomeNames.find(name);
  if (entry == kOutcomeNames.end()) throw ProtocolError("unknown Disposition " + name);
  return entry->second;
}

LoadReport parse_load(const Json& message) {
  const Json& feedback = section(message, "Feedback");
  if (!feedback.is_object()) throw ProtocolError("Feedback is not an object");
  LoadReport load;
  load.in_flight = optional_field(feedback, "active", -1.0);
  load.queued = optional_field(feedback, "waiting", -1.0);
  load.cpu_utilization = optional_field(feedback, "cpu", -1.0);
  load.latency_ms = optional_field(feedback, "avg_ms", -1.0);
  load.requests_per_s = optional_field(feedback, "rps", -1.0);
  load.errors_per_s = optional_field(feedback, "err_rps", -1.0);
  return load;
}

EndpointEntry parse_endpoint_entry(const Json& fields) {
  EndpointEntry entry;
  entry.endpoint = required_field<std::string>(fields, "Server");
  entry.zone = optional_field<std::string>(fields, "RackZone", "");
  entry.hardware = optional_field<std::string>(fields, "GenerationHw", "");
  entry.cell = optional_field<std::int64_t>(fields, "Cohort", 0);
  const auto state = optional_field<std::string>(fields, "Mode", "up");
  entry.state = enum_value(state, kEndpointStateNames, EndpointState::kUp);
  entry.weight = optional_field(fields, "Heft", 1.0);
  entry.started_at = optional_field<TimePoint>(fields, "ReadyAtUs", 0);
  return entry;
}

RequestArrived parse_request_arrived(const Json& message) {
  RequestArrived event;
  event.id = required_field<std::string>(message, "Id");
  event.customer = optional_field<std::string>(message, "Member", "");
  event.plan = optional_field<std::string>(message, "GradeOfService", "");
  event.request_class = optional_field<std::string>(message, "Service", "");
  event.units = optional_field(message, "CostUnits", 1.0);
  event.deadline = required_field<TimePoint>(message, "GiveUpAtUs");
  event.gateway_set_size = optional_field(message, "SetSize", 0);
  event.first_gateway_index = optional_field(message, "FromNo", 0);
  event.client_retry = optional_field(message, "AgainByClient", false);
  return event;
}

ResponseStarted parse_response_started(const Json& message) {
  ResponseStarted event;
  event.id = required_field<std::string>(message, "Id");
  event.attempt = optional_field(message, "Go", 0);
  event.endpoint = optional_field<std::string>(message, "Server", "");
  return event;
}

AttemptEnded parse_attempt_ended(const Json& message) {
  AttemptEnded event;
  event.id = required_field<std::string>(message, "Id");
  event.attempt = required_field<int>(message, "Go");
  event.endpoint = optional_field<std::string>(message, "Server", "");
  event.outcome = parse_outcome(message);
  event.duration = optional_field<Duration>(message, "DurationUs", 0);
  event.request_finished = optional_field(message, "Over", false);
  event.quota_percent_plus_one = optional_field(message, "Usage", 0);
  event.billed_units = optional_field(message, "Billed", 0.0);
  event.load = parse_load(message);
  return event;
}

CounterReply parse_counter_reply(const Json& message) {
  CounterReply event;
  event.name = required_field<std::int64_t>(message, "Cname");
  event.total = optional_field(message, "Total", 0.0);
  event.duration = optional_field<Duration>(message, "DurationUs", 0);
  const auto outcome = required_field<std::string>(message, "Disposition");
  event.outcome = enum_value(outcome, kCounterOutcomeNames, CounterOutcome::kUnknown);
  return event;
}

EndpointListUpdate parse_endpoint_list_update(const Json& message, const EndpointLists& lists) {
  EndpointListUpdate event;
  const auto kind = required_field<std::string>(message, "Kind");
  event.kind = enum_value(kind, kListKindNames, EndpointListUpdate::Kind::kError);
  if (event.kind == EndpointListUpdate::Kind::kError) return event;
  const auto list = lists.find(required_field<std::int64_t>(message, "List"));
  if (list == lists.end()) throw ProtocolError("DirectoryUpdate refers to an unknown list");
  event.entries = list->second;
  return event;
}

ProbeEnded parse_probe_ended(const Json& message) {
  ProbeEnded event;
  event.endpoint = required_field<std::string>(message, "Server");
  event.outcome = parse_outcome(message);
  event.duration = optional_field<Duration>(message, "DurationUs", 0);
  event.load = parse_load(message);
  return event;
}

}  // namespace

std::vector<EndpointEntry> parse_endpoint_entries(const Json& entries) {
  if (!entries.is_array()) throw ProtocolError("Entries is not an array");
  std::vector<EndpointEntry> parsed;
  for (const Json& fields : entries) parsed.push_back(parse_endpoint_entry(fields));
  return parsed;
}

std::optional<Event> parse_event(const Json& message, const EndpointLists& lists) {
  const auto type = required_field<std::string>(message, "what");
  if (type == "Knock") return parse_request_arrived(message);
  if (type == "Begun") return parse_response_started(message);
  if (type == "Response") return parse_attempt_ended(message);
  if (type == "Alarm") return TimerFired{required_field<std::int64_t>(message, "Label")};
  if (type == "TimedOutClient") return RequestCancelled{required_field<std::string>(message, "Id")};
  if (type == "CounterReply") return parse_counter_reply(message);
  if (type == "DirectoryUpdate") return parse_endpoint_list_update(message, lists);
  if (type == "Checked") return parse_probe_ended(message);
  return std::nullopt;
}

}  // namespace quota_gateway::wire
