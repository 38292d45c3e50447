// Parsing of responses, and buffering and streaming of their bodies.
#include "upstream/upstream_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST_F(UpstreamTest, ReturnsBodyAndLoadReportOfSuccessfulResponse) {
  endpoint.on_request = [](Peer& peer, const HttpRequest&) {
    peer.write(
        reply("200 OK", "Endpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61, odd=x\r\n", "body"));
  };
  create_upstream();
  const AttemptResult result = send_and_wait(1);
  EXPECT_EQ(result.outcome, Outcome::kOk);
  EXPECT_EQ(result.body, "body");
  EXPECT_DOUBLE_EQ(result.load.in_flight, 7);
  EXPECT_DOUBLE_EQ(result.load.queued, 2);
  EXPECT_DOUBLE_EQ(result.load.cpu_utilization, 0.61);
  EXPECT_LT(result.load.requests_per_s, 0);
  const auto& received = endpoint.requests.at(0);
  EXPECT_EQ(received.target(), "/intro-request/1?q");
  EXPECT_EQ(received["X-Trace-Id"], "t1");
  EXPECT_EQ(received["Idempotency-Key"], "k1");
  EXPECT_EQ(received["X-Expires-In"].back(), 'u');
  EXPECT_EQ(received.body(), "hello");
}

TEST_F(UpstreamTest, ParsesBilledUnitsAndIgnoresInvalidValues) {
  const std::map<std::string, double> units_by_header = {{"3", 3},  {"2.5", 2.5}, {"", 0},
                                                         {"-1", 0}, {"inf", 0},   {"3 x", 0}};
  std::string header;
  endpoint.on_request = [&](Peer& peer, const HttpRequest&) {
    peer.write(reply("200 OK", "Billed-Units: " + header + "\r\n"));
  };
  create_upstream();
  std::uint64_t id = 0;
  for (const auto& [text, units] : units_by_header) {
    header = text;
    EXPECT_DOUBLE_EQ(send_and_wait(++id).billed_units, units) << text;
  }
}

TEST_F(UpstreamTest, CompletesResponseWithoutLengthOnlyAfterOrderlyClose) {
  // A truncated response must not be served as complete, whether it is buffered or streamed.
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  for (const std::string& body : {std::string("buffered"), std::string(100'000, 'x')}) {
    for (const bool is_orderly : {true, false}) {
      SCOPED_TRACE(::testing::Message() << body.size() << (is_orderly ? " closed" : " reset"));
      std::shared_ptr<Peer> peer;
      bool is_sent = false;
      endpoint.on_request = [&](Peer& accepted, const HttpRequest&) {
        peer = accepted.shared_from_this();
        asio::async_write(peer->socket, asio::buffer(head), [&](error_code, std::size_t) {
          asio::async_write(peer->socket, asio::buffer(body),
                            [&](error_code, std::size_t) { is_sent = true; });
        });
      };
      streamed_body.clear();
      create_upstream();
      send(1);
      // The whole body is read before the connection is closed.
      ASSERT_TRUE(run_until(
          io, [&] { return is_sent && (body.size() < kBufferedBodyLimit || streamed_body == body); }));
      run_for(io, 1);
      const auto previous_results = results.size();
      if (is_orderly) {
        peer->close();
      } else {
        peer->reset();
      }
      ASSERT_TRUE(run_until(io, [&] { return results.size() > previous_results; }));
      EXPECT_EQ(results.back().second.outcome, is_orderly ? Outcome::kOk : Outcome::kReset);
      EXPECT_EQ(results.back().second.body, is_orderly && body.size() < kBufferedBodyLimit ? body : "");
    }
  }
}

TEST_F(UpstreamTest, DoesNotCompleteResponseWithoutLengthAfterResetOnWrite) {
  // The kernel reports a reset only once, so a read after the failed write looks like an orderly close. Here
  // both handlers are ready in the same turn of the event loop, that of the write first.
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  tcp::socket trigger(io);
  tcp::socket trigger_peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  request.upload = std::make_shared<BodyUpload>(budget, 10);
  bool is_body_requested = false;
  request.upload->on_consumer_ready = [&] { is_body_requested = true; };
  create_upstream();
  endpoint_update.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  send(1);
  ASSERT_TRUE(run_until(io, [&] { return is_body_requested && peer.is_open(); }));
  acceptor.async_accept(trigger_peer, [](error_code) {});
  trigger.connect(acceptor.local_endpoint());
  ASSERT_TRUE(run_until(io, [&] { return trigger_peer.is_open(); }));
  asio::write(peer, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nhalf")));
  trigger.async_wait(tcp::socket::wait_read, [&](error_code) { request.upload->append("0123456789"); });
  while (io.poll() > 0) io.restart();
  io.restart();
  asio::write(trigger_peer, asio::buffer(std::string_view("x")));
  peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kConnectFailed);
  EXPECT_EQ(results[0].second.body, "");
}

TEST_F(UpstreamTest, FailsAttemptOnInvalidResponse) {
  EXPECT_EQ(outcome_of("\x01\x02 nonsense\r\n\r\n"), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x')), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), Outcome::kReset);
}

TEST_F(UpstreamTest, FailsAttemptWhenBodyExceedsMaximumSize) {
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(100'000, 'x')),
            Outcome::kReset);
}

TEST_F(UpstreamTest, ReadsLargeResponseAsFastAsClientReceivesIt) {
  endpoint.on_request = [](Peer& peer, const HttpRequest&) {
    const auto response =
        std::make_shared<std::string>(reply("200 OK", "Billed-Units: 3\r\n", std::string(900'000, 'x')));
    asio::async_write(peer.socket, asio::buffer(*response),
                      [response, self = peer.shared_from_this()](error_code, std::size_t) {});
  };
  client_receives = false;
  create_upstream();
  send(1);
  ASSERT_TRUE(run_until(io, [&] { return !streamed_body.empty(); }));
  const auto first_chunk_size = streamed_body.size();
  EXPECT_LE(first_chunk_size, kReadSize);
  EXPECT_EQ(streamed_lengths, std::vector<std::optional<std::uint64_t>>{900'000});
  io.restart();
  io.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(streamed_body.size(), first_chunk_size);  // nothing more is read
  client_receives = true;
  upstream->resume_reading({1, 0});
  ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(streamed_body.size(), 900'000u);
  EXPECT_EQ(results[0].second.outcome, Outcome::kOk);
  EXPECT_EQ(written_attempts, 1);
}

TEST_F(UpstreamTest, LowersStreamingThresholdUnderMemoryPressure) {
  BodyBudget::Share other_share(budget);
  endpoint.on_request = [](Peer& peer, const HttpRequest&) {
    peer.write(reply("200 OK", "", std::string(50'000, 'x')));
  };
  create_upstream();
  EXPECT_EQ(send_and_wait(1).body.size(), 50'000u);
  other_share.set(2 << 20);
  EXPECT_EQ(send_and_wait(2).body.size(), 0u);
  EXPECT_EQ(streamed_body.size(), 50'000u);
}

// Guards against an idle connection that keeps the buffers of its last request and response.
TEST_F(UpstreamTest, IdleConnectionHoldsNoBuffers) {
  for (const std::size_t size : {std::size_t(60'000), std::size_t(900'000)}) {
    endpoint.on_request = [=](Peer& peer, const HttpRequest&) {
      auto response = std::make_shared<std::string>(reply("200 OK", "", std::string(size, 'x')));
      asio::async_write(peer.socket, asio::buffer(*response), [response](error_code, std::size_t) {});
    };
    create_upstream();
    request.body = std::make_shared<const CountedBuffer>(budget, std::string(50'000, 'q'));
    EXPECT_EQ(send_and_wait(1).outcome, Outcome::kOk);
    EXPECT_GE(budget.take_peak_bytes(), 50'000u);
    request.body.reset();
    EXPECT_EQ(budget.used_bytes(), 0u) << size;
  }
}

TEST_F(UpstreamTest, FailsAttemptOnEndlessChunkExtension) {
  EXPECT_EQ(
      outcome_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(100'000, 'x')),
      Outcome::kReset);
}

TEST_F(UpstreamTest, SkipsInterimResponses) {
  EXPECT_EQ(outcome_of("HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "", "x")), Outcome::kOk);
}

}  // namespace
}  // namespace quota_gateway::net::testing
