// The attempts in flight, each with its connection to an endpoint.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "discovery/discovery_client.hpp"
#include "network/body_transfer.hpp"
#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"
#include "upstream/attempt.hpp"
#include "upstream/connection.hpp"
#include "upstream/connection_pool.hpp"

namespace quota_gateway::net {

// Sends attempts to endpoints and reports how they end.
class Upstream : private ConnectionObserver {
 public:
  // Notifications to the owner. Callbacks may send and cancel attempts.
  struct Callbacks {
    // Called when an attempt has ended other than by cancellation.
    std::function<void(AttemptKey, AttemptResult)> on_attempt_ended;
    // Called when the last byte of an attempt has been written; once per attempt.
    std::function<void()> on_request_written;
    // Called when the head of a successful response of unknown length has arrived without the whole body.
    std::function<void(AttemptKey)> on_response_begun;
    // Called when a successful response begins that is too large to buffer or takes long; `length` is the
    // length of its body, or std::nullopt if it is unknown. The chunks of the body follow, each but the first
    // after a call of resume_reading(), and then the end of the attempt.
    std::function<void(AttemptKey, const AttemptResult&, std::optional<std::uint64_t> length)>
        on_response_started;
    // Called with a chunk of the body of such a response.
    std::function<void(AttemptKey, std::string bytes)> on_response_chunk;
  };

  Upstream(boost::asio::io_context& io, Timers& timers, const Clock& clock, UpstreamLimits limits,
           BodyBudget& budget, Callbacks callbacks);
  // Not movable: the connections refer to this object.
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  Upstream(Upstream&&) = delete;
  Upstream& operator=(Upstream&&) = delete;
  ~Upstream() override = default;

  // Applies an update of the endpoint list.
  void update_endpoints(const DiscoveryUpdate& update);
  // Disables or enables an endpoint administratively. No new attempt is sent to a disabled endpoint,
  // whatever the endpoint list says.
  void set_disabled(const std::string& endpoint, bool disabled);
  // Returns whether the endpoint list contains the endpoint.
  [[nodiscard]] bool is_known(const std::string& endpoint) const { return pool_.is_known(endpoint); }

  // Starts an attempt. Unless it is cancelled, its result is reported once, never from within this call.
  void send(AttemptKey key, const std::string& endpoint, const OutgoingRequest& request, TimePoint deadline);
  // Cancels the attempt by closing its connection. Returns whether its last byte may have been written; false
  // if the attempt is not in flight.
  bool cancel(AttemptKey key);
  // Cancels the attempt if its last byte is not written yet. Returns whether it was cancelled.
  bool cancel_unless_written(AttemptKey key);
  // All three: see Connection. The last one returns std::nullopt if the attempt is not in flight.
  void start_streaming_if_long(AttemptKey key);
  void start_streaming_if_arriving(AttemptKey key);
  [[nodiscard]] std::optional<TimePoint> decides_by(AttemptKey key, TimePoint client_deadline) const;
  // Continues reading a streamed response once the client has received the latest chunk.
  void resume_reading(AttemptKey key);
  // Returns when a streamed response has to end (see Connection), or 0 if the attempt is not in flight.
  [[nodiscard]] TimePoint response_ends_at(AttemptKey key, const ResponseDeadlines& deadlines) const;
  // Returns the progress of a streamed response; empty if the attempt is not in flight.
  [[nodiscard]] EndpointProgress response_progress(AttemptKey key) const;

 private:
  [[nodiscard]] bool is_address_current(const Connection& connection) override;
  void on_request_written() override;
  void on_response_begun(AttemptKey key) override;
  void on_response_started(AttemptKey key, const AttemptResult& head,
                           std::optional<std::uint64_t> length) override;
  void on_response_chunk(AttemptKey key, std::string bytes) override;
  void on_attempt_ended(const std::shared_ptr<Connection>& connection, AttemptResult result,
                        bool is_reusable) override;
  void on_idle_connection_lost(Connection& connection) override;

  void report_not_sent_later(AttemptKey key);

  const Callbacks callbacks_;
  ConnectionContext context_;
  ConnectionPool pool_;
  std::unordered_map<AttemptKey, std::shared_ptr<Connection>, AttemptKeyHash> attempts_;
};

}  // namespace quota_gateway::net
