// The attempts that are under way at the endpoints. Routes between the coordinator and the connections.
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
  // What is reported to the owner. Callbacks may send and cancel attempts.
  struct Callbacks {
    // An attempt has ended, other than by cancellation.
    std::function<void(AttemptKey, AttemptResult)> on_attempt_ended;
    // The last byte of an attempt is written; called once for each attempt.
    std::function<void()> on_request_written;
    // A successful response that is too large to buffer has begun; `length` is that of its body, if known.
    // The chunks of the body follow, each but the first after a call of resume_reading(), and then the end of
    // the attempt.
    std::function<void(AttemptKey, const AttemptResult&, std::optional<std::uint64_t> length)>
        on_response_started;
    // A chunk of the body of such a response.
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

  // Applies a change of the endpoint list.
  void update_endpoints(const DiscoveryUpdate& update);
  // Sends nothing more to an endpoint that is administratively disabled, whatever the endpoint list says.
  void set_disabled(const std::string& endpoint, bool disabled);
  // Whether the endpoint list contains the endpoint.
  [[nodiscard]] bool is_known(const std::string& endpoint) const { return pool_.is_known(endpoint); }

  // Starts an attempt. One result follows, never from within this call, unless the attempt is cancelled.
  void send(AttemptKey key, const std::string& endpoint, const OutgoingRequest& request, TimePoint deadline);
  // Closes the attempt's connection. Returns whether its last byte may have been written.
  bool cancel(AttemptKey key);
  // Cancels the attempt if its last byte is not written yet. Returns whether it was cancelled.
  bool cancel_unless_written(AttemptKey key);
  // Reads on, once the client has received the last chunk of a streamed response.
  void resume_reading(AttemptKey key);
  // When the endpoint last sent a part of the response; now, while more is unread or reading is paused.
  [[nodiscard]] TimePoint last_progress_at(AttemptKey key) const;

 private:
  [[nodiscard]] bool is_address_current(const Connection& connection) override;
  void on_request_written() override;
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
