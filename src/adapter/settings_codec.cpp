// Decodes the settings of a gateway from JSON. The simulator's line protocol and the configuration file use
// the same names for them.
#include "adapter/codec.hpp"

namespace quota_gateway::wire {
namespace {

const EnumNames<Idempotency> kIdempotencyNames = {{"safe", Idempotency::kIdempotent},
                                                  {"keyed", Idempotency::kByKey}};
const EnumNames<DedupScope> kDedupScopeNames = {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}};

ClassSettings parse_class(const Json& fields) {
  ClassSettings parsed;
  parsed.name = optional_field<std::string>(fields, "Name", "");
  parsed.latency_objective = optional_field(fields, "ObjectiveUs", parsed.latency_objective);
  parsed.client_timeout = optional_field(fields, "GiveUpUs", parsed.client_timeout);
  parsed.priority_weight = optional_field(fields, "Importance", parsed.priority_weight);
  parsed.late_weight_fraction = optional_field(fields, "LateValue", parsed.late_weight_fraction);
  const auto idempotency = optional_field<std::string>(fields, "Repeat", "");
  parsed.idempotency = enum_value(idempotency, kIdempotencyNames, Idempotency::kNonIdempotent);
  const auto dedup_scope = optional_field<std::string>(fields, "DedupScope", "");
  parsed.dedup_scope = enum_value(dedup_scope, kDedupScopeNames, DedupScope::kCell);
  parsed.dedup_window = optional_field<Duration>(fields, "WindowUs", 0);
  parsed.streamed = optional_field(fields, "Stream", false);
  return parsed;
}

PlanSettings parse_plan(const Json& fields) {
  PlanSettings parsed;
  parsed.name = optional_field<std::string>(fields, "Name", "");
  parsed.rate = optional_field(fields, "QuotaRate", 0.0);
  parsed.burst = optional_field(fields, "Depth", 0.0);
  parsed.max_concurrent_attempts = optional_field(fields, "MaxOut", 0);
  parsed.hard_limit_rate = optional_field(fields, "NeverOverRate", 0.0);
  parsed.hard_limit_burst = optional_field(fields, "HardBurst", 0.0);
  parsed.hard_limit_slack = optional_field(fields, "CapSlack", 0.0);
  parsed.priority_factor = optional_field(fields, "ValueFactor", 1.0);
  parsed.excess_weight_fraction = optional_field(fields, "ExcessWorth", 0.0);
  parsed.excess_cost_fraction = optional_field(fields, "OverrunCost", 0.0);
  return parsed;
}

void parse_limits(const Json& limits, Settings& settings) {
  settings.max_attempts = optional_field(limits, "MaxAttempts", 1);
  settings.connect_timeout = optional_field<Duration>(limits, "DialTimeoutUs", 0);
  settings.allow_probes = optional_field(limits, "Probes", false);
  settings.allow_cancel = optional_field(limits, "MayCancel", false);
  settings.allow_hedging = optional_field(limits, "MayDuplicate", false);
  settings.allow_retry_after = optional_field(limits, "RetryAfter", false);
  settings.max_retry_after = optional_field<Duration>(limits, "MaxRetryAfterUs", 0);
}

void parse_extra(const Json& extra, Settings& settings) {
  settings.has_counter = optional_field(extra, "SharedCounter", false);
  settings.counter_timeout = optional_field(extra, "CounterTimeoutUs", settings.counter_timeout);
  settings.metering_period = optional_field<Duration>(extra, "MeteringUs", 0);
  settings.max_request_units = optional_field(extra, "Largest", 1.0);
  settings.endpoints_bill_units = optional_field(extra, "CostAfter", false);
}

void parse_obligations(const Json& obligations, Settings& settings) {
  settings.max_subscribe_delay = optional_field(obligations, "AskWithinUs", settings.max_subscribe_delay);
  settings.response_grace = optional_field<Duration>(obligations, "GraceToAnswerUs", 0);
  settings.drain_grace = optional_field<Duration>(obligations, "StopSendingWithinUs", 0);
  settings.slow_start_min_capacity_fraction = optional_field(obligations, "ColdShare", 1.0);
  settings.slow_start_duration = optional_field<Duration>(obligations, "ColdUs", 0);
  settings.slow_start_overload_factor = optional_field(obligations, "TipMultiple", 1.0);
  settings.slow_start_window = optional_field<Duration>(obligations, "TipAfterUs", 0);
}

}  // namespace

Settings parse_settings(const Json& info) {
  if (!info.is_object()) throw ProtocolError("the settings are not an object");
  Settings settings;
  settings.zone = optional_field<std::string>(info, "Az", "");
  for (const Json& fields : section(info, "Classes")) settings.classes.push_back(parse_class(fields));
  for (const Json& fields : section(info, "TiersOfService")) settings.plans.push_back(parse_plan(fields));
  settings.gateway_count = optional_field(info, "ReplicasOfMe", 1);
  settings.gateway_index = optional_field(info, "Position", 0);
  settings.tick = optional_field(info, "TickUs", settings.tick);
  parse_extra(section(info, "Extra"), settings);
  parse_limits(section(info, "Limits"), settings);
  const auto membership = optional_field<std::string>(info, "MembershipMode", "pushed");
  settings.subscribe_to_endpoints = membership == "on_request";
  parse_obligations(section(info, "Obligations"), settings);
  return settings;
}

}  // namespace quota_gateway::wire
