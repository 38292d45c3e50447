// A test fixture that sends attempts to an endpoint on the loopback interface and records the callbacks.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/loopback.hpp"
#include "upstream/upstream.hpp"

namespace quota_gateway::net::testing {

class UpstreamTest : public ::testing::Test {
 protected:
  // Replaces the upstream by a new one whose endpoint list contains only `endpoint`, under the name "s".
  void create_upstream(UpstreamLimits limits = {}) {
    upstream.emplace(io, timers, clock, limits, budget, callbacks());
    endpoint_update.complete = true;
    endpoint_update.endpoints = {discovered_endpoint("s", endpoint)};
    upstream->update_endpoints(endpoint_update);
  }

  // Starts the first attempt of a request.
  void send(std::uint64_t request_id) {
    upstream->send({request_id, 0}, "s", request, clock.now() + kRequestTimeout);
  }

  // Starts the first attempt of a request, runs the event loop until it ends and returns its result.
  AttemptResult send_and_wait(std::uint64_t request_id) {
    send(request_id);
    const auto expected_results = results.size() + 1;
    EXPECT_TRUE(run_until(io, [&] { return results.size() == expected_results; }));
    return results.empty() ? AttemptResult{} : results.back().second;
  }

  // Returns the outcome of an attempt to which the endpoint responds with these bytes.
  Outcome outcome_of(const std::string& response, bool close = false) {
    endpoint.on_request = [=](Peer& peer, const HttpRequest&) {
      peer.write(response);
      if (close) peer.close();
    };
    create_upstream();
    return send_and_wait(1).outcome;
  }

  static constexpr Duration kRequestTimeout = 10'000'000;  // us

  DiscoveryUpdate endpoint_update;
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeEndpoint endpoint{io};
  std::vector<std::pair<AttemptKey, AttemptResult>> results;
  BodyBudget budget{1 << 20};
  int written_attempts = 0;     // attempts whose last byte was written
  bool client_receives = true;  // whether the client receives the chunks of a streamed response
  std::string streamed_body;
  std::vector<std::optional<std::uint64_t>> streamed_lengths;  // body lengths of the streamed responses
  std::optional<Upstream> upstream;
  OutgoingRequest request{.method = "POST",
                          .target = "/intro-request/1?q",
                          .host = "origin.svc",
                          .trace_id = "t1",
                          .idempotency_key = "k1",
                          .body = std::make_shared<const CountedBuffer>(budget, "hello"),
                          .upload = nullptr};

 private:
  Upstream::Callbacks callbacks() {
    return {
        .on_attempt_ended = [this](AttemptKey key,
                                   AttemptResult result) { results.emplace_back(key, std::move(result)); },
        .on_request_written = [this] { ++written_attempts; },
        .on_response_begun = [](AttemptKey) {},
        .on_response_started =
            [this](AttemptKey, const AttemptResult&, std::optional<std::uint64_t> length) {
              streamed_lengths.push_back(length);
            },
        .on_response_chunk =
            [this](AttemptKey key, const std::string& bytes) {
              streamed_body += bytes;
              if (client_receives) asio::post(io, [this, key] { upstream->resume_reading(key); });
            }};
  }
};

}  // namespace quota_gateway::net::testing
