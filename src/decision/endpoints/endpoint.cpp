#include "decision/endpoints/endpoint.hpp"

#include "decision/field_serialization.hpp"

namespace quota_gateway::decision {
namespace {

constexpr std::size_t kValuesPerSend = 2;  // sent_at and work

}  // namespace

void Endpoint::reset_observations() {
  consecutive_failures = 0;
  ejected_until = 0;
  half_open = false;
  latency_ratio_sum = 0;
  latency_ratio_weight = 0;
  idle_connections = 0;
}

HotRestartState::Values serialize_endpoint(Endpoint& endpoint) {
  HotRestartState::Values values = serialize_fields(endpoint);
  for (const SlowStartSend& send : endpoint.slow_start_sends) {
    values.push_back(double(send.sent_at));
    values.push_back(send.work);
  }
  return values;
}

bool deserialize_endpoint(Endpoint& endpoint, const HotRestartState::Values& values) {
  const std::size_t field_count = serialize_fields(endpoint).size();
  if (values.size() < field_count) return false;
  if ((values.size() - field_count) % kValuesPerSend != 0) return false;
  const auto sends_begin = values.begin() + std::ptrdiff_t(field_count);
  const HotRestartState::Values fields(values.begin(), sends_begin);
  deserialize_fields(endpoint, fields);
  for (auto value = sends_begin; value != values.end(); value += kValuesPerSend) {
    endpoint.slow_start_sends.push_back({TimePoint(value[0]), value[1]});
  }
  return true;
}

}  // namespace quota_gateway::decision
