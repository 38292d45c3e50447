// Outcomes of attempts, tested with endpoints on the loopback interface.
#include "upstream/upstream_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST_F(UpstreamTest, CountsOnlyCompletelyWrittenAttempts) {
  create_upstream();
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kOk);
  EXPECT_EQ(send_and_wait(2).outcome, Outcome::kOk);
  EXPECT_EQ(written_attempts, 2);
  endpoint.stop();
  EXPECT_NE(send_and_wait(3).outcome, Outcome::kOk);
  EXPECT_EQ(written_attempts, 2);
}

TEST_F(UpstreamTest, ReportsErrorForAnErrorResponse) {
  EXPECT_EQ(outcome_of(reply("500 Oops")), Outcome::kError);
}

TEST_F(UpstreamTest, ReportsOverloadOnlyWithTheNeverRanHeader) {
  // A plain 503 from a proxy or a busy endpoint does not prove that the request was not executed.
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("504 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("503 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("504 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 0\r\n")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("500 No", "X-Never-Ran: 1\r\n")), Outcome::kError);
}

TEST_F(UpstreamTest, ReportsConnectFailureWhenRefused) {
  create_upstream();
  endpoint.stop();
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ReportsConnectFailureAfterConnectTimeout) {
  // A connect to a listener with a full backlog hangs, like a connect to a machine that is gone.
  tcp::acceptor full_listener(io, {asio::ip::address_v4::loopback(), 0}, true);
  full_listener.listen(0);
  std::deque<tcp::socket> backlog_clients;
  for (int i = 0; i < 4; ++i) {
    backlog_clients.emplace_back(io);
    backlog_clients.back().async_connect(full_listener.local_endpoint(), [](error_code) {});
  }
  create_upstream({.connect_timeout = 50'000, .max_connections = 10});
  endpoint_update.endpoints[0].address = full_listener.local_endpoint();
  upstream->update_endpoints(endpoint_update);
  EXPECT_EQ(send_and_wait(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ReportsConnectFailureWhenLostBeforeTheLastByte) {
  // The request is larger than the socket buffers. The endpoint resets the connection without reading it all.
  request.body = std::make_shared<const CountedBuffer>(budget, std::string(32 << 20, 'x'));
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

TEST_F(UpstreamTest, ReportsResetWhenLostAfterTheLastByte) {
  EXPECT_EQ(outcome_of("", true), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true), Outcome::kReset);
}

TEST_F(UpstreamTest, CancelClosesConnectionAndReturnsWhetherItMayHaveExecuted) {
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

TEST_F(UpstreamTest, ReportsResetWhenCloseIsHandledBeforeTheLastWrite) {
  // If the attempt counted as not sent, a non-idempotent request could be sent twice. Here the close of the
  // connection is handled before the completion of the last write.
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  request.upload = std::make_shared<BodyUpload>(budget, 10);
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

TEST_F(UpstreamTest, CancelReturnsFalseForAPartlyWrittenAttempt) {
  request.body = std::make_shared<const CountedBuffer>(
      budget, std::string(32 << 20, 'x'));  // larger than the socket buffers; the endpoint reads nothing
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
