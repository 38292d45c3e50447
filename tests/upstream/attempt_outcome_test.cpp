// How attempts end: each row of the outcome table, against endpoints on the loopback interface.
#include "upstream/upstream_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST_F(UpstreamTest, OnlyCompletelyWrittenAttemptsAreCounted) {
  create_upstream();
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  EXPECT_EQ(send_and_wait(2).outcome, Outcome::kOk);
  EXPECT_EQ(written_attempts, 2);
  endpoint.stop();
  EXPECT_NE(send_and_wait(3).outcome, Outcome::kOk);
  EXPECT_EQ(written_attempts, 2);
}

TEST_F(UpstreamTest, ErrorResponseMayHaveExecuted) {
  EXPECT_EQ(outcome_of(reply("500 Oops")), Outcome::kError);
}

TEST_F(UpstreamTest, OverloadIsRecognisedOnlyByTheNeverRanHeader) {
  // A plain 503 of a proxy or a busy endpoint does not prove that nothing was executed.
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("504 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("503 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("504 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 0\r\n")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("500 No", "X-Never-Ran: 1\r\n")), Outcome::kError);
}

TEST_F(UpstreamTest, RefusedConnectionIsAConnectFailure) {
  create_upstream();
  endpoint.stop();
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ConnectTimeoutIsAConnectFailure) {
  // Connects to a listener with a full backlog hang, as they do to a machine that has vanished.
  tcp::acceptor full(io, {asio::ip::address_v4::loopback(), 0}, true);
  full.listen(0);
  std::deque<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(io);
    fillers.back().async_connect(full.local_endpoint(), [](error_code) {});
  }
  create_upstream({.connect_timeout = 50'000, .max_connections = 10});
  endpoint_update.endpoints[0].address = full.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ConnectionLostBeforeTheLastByteIsAConnectFailure) {
  // The request is larger than the socket buffers; the endpoint reads little and resets the connection.
  request.body.assign(32 << 20, 'x');
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [&](error_code) {
    peer.async_wait(tcp::socket::wait_read, [&](error_code) {
      peer.set_option(asio::socket_base::linger(true, 0));
      peer.close();
    });
  });
  create_upstream();
  endpoint_update.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ConnectionLostAfterTheLastByteIsAReset) {
  EXPECT_EQ(outcome_of("", true), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true), Outcome::kReset);
}

TEST_F(UpstreamTest, CancelClosesTheConnectionAndReportsWhetherItMayHaveExecuted) {
  endpoint.on_request = [](Peer&, const HttpRequest&) {};
  create_upstream();
  send(1);
  EXPECT_FALSE(upstream->cancel({1, 0}));  // still connecting
  send(2);
  ASSERT_TRUE(run_until(io, [&] { return !endpoint.requests.empty(); }));
  EXPECT_TRUE(upstream->cancel({2, 0}));
  ASSERT_TRUE(run_until(io, [&] { return endpoint.peers.back()->closed; }));
  EXPECT_TRUE(results.empty());  // a cancelled attempt reports no result
}

TEST_F(UpstreamTest, CloseAfterTheLastByteIsAResetWhicheverEventIsHandledFirst) {
  // A non-idempotent request must not be sent twice. The close of the connection is handled before the
  // completion of the last write here.
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  request.upload = std::make_shared<BodyUpload>(10);
  bool is_body_requested = false;
  request.upload->on_consumer_ready = [&] { is_body_requested = true; };
  create_upstream();
  endpoint_update.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  send(1);
  ASSERT_TRUE(run_until(io, [&] { return is_body_requested && peer.is_open(); }));
  while (io.poll() > 0) io.restart();
  io.restart();
  peer.shutdown(tcp::socket::shutdown_send);
  asio::post(io, [&] {
    request.upload->append("0123456789");
    request.upload->finish();
  });
  ASSERT_TRUE(run_until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kReset);
  EXPECT_EQ(written_attempts, 1);
}

TEST_F(UpstreamTest, CancelOfAPartlyWrittenAttemptReportsThatItDidNotExecute) {
  request.body.assign(32 << 20, 'x');  // larger than the socket buffers; the endpoint reads nothing
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  create_upstream();
  endpoint_update.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  send(1);
  ASSERT_TRUE(run_until(io, [&] { return peer.is_open() && peer.available() > 0; }));
  EXPECT_FALSE(upstream->cancel({1, 0}));
}

}  // namespace
}  // namespace quota_gateway::net::testing
