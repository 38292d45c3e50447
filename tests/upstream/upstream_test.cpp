// Attempts and pools, against servers on loopback: each row of the protocol's outcome table.
#include "upstream/upstream.hpp"

#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class UpstreamTest : public ::testing::Test {
 protected:
  void make(UpstreamLimits limits = {}) {
    upstream.emplace(
        io, timers, clock, limits, budget,
        Upstream::Callbacks{
            [this](AttemptKey key, AttemptResult result) { results.emplace_back(key, std::move(result)); },
            [this] { ++written; },
            [this](AttemptKey, const AttemptResult&, std::optional<std::uint64_t> l) { begun.push_back(l); },
            [this](AttemptKey key, std::string bytes) {
              passed += bytes;
              if (takes) asio::post(io, [this, key] { upstream->request_more(key); });
            }});
    list.complete = true;
    list.endpoints = {member("s", server)};
    upstream->update_endpoints(list);
  }
  void send(std::uint64_t request) { upstream->send({request, 0}, "s", outgoing, clock.now() + 10'000'000); }
  // Sends and waits for the result.
  AttemptResult result(std::uint64_t request) {
    send(request);
    const auto want = results.size() + 1;
    EXPECT_TRUE(until(io, [&] { return results.size() == want; }));
    return results.empty() ? AttemptResult{} : results.back().second;
  }
  Outcome outcome_of(const std::string& raw, bool close = false) {
    server.on_request = [=](Peer& p, const Request_&) {
      p.write(raw);
      if (close) p.close();
    };
    make();
    return result(1).outcome;
  }
  DiscoveryUpdate list;
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  FakeServer server{io};
  std::vector<std::pair<AttemptKey, AttemptResult>> results;
  BodyBudget budget{1 << 20};
  int written = 0;    // attempts written whole
  bool takes = true;  // the client, what there is of an answer
  std::string passed;
  std::vector<std::optional<std::uint64_t>> begun;
  std::optional<Upstream> upstream;
  OutgoingRequest outgoing{"POST", "/intro-request/1?q", "origin.svc", "t1", "k1", "hello"};
};

TEST_F(UpstreamTest, ServedWithTheBodyAndTheLoad) {
  server.on_request = [](Peer& p, const Request_&) {
    p.write(reply("200 OK", "Endpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61, odd=x\r\n", "body"));
  };
  make();
  const auto r = result(1);
  EXPECT_EQ(r.outcome, Outcome::kOk);
  EXPECT_EQ(r.body, "body");
  EXPECT_DOUBLE_EQ(r.load.in_flight, 7);
  EXPECT_DOUBLE_EQ(r.load.queued, 2);
  EXPECT_DOUBLE_EQ(r.load.cpu, 0.61);
  EXPECT_LT(r.load.served_per_s, 0);
  const auto& seen = server.requests.at(0);
  EXPECT_EQ(seen.target(), "/intro-request/1?q");
  EXPECT_EQ(seen["X-Trace-Id"], "t1");
  EXPECT_EQ(seen["Idempotency-Key"], "k1");
  EXPECT_EQ(seen["X-Expires-In"].back(), 'u');
  EXPECT_EQ(seen.body(), "hello");
}

TEST_F(UpstreamTest, OnlyAttemptsWrittenWholeAreCounted) {
  make();
  EXPECT_EQ(result(1).outcome, Outcome::kOk);
  EXPECT_EQ(result(2).outcome, Outcome::kOk);
  EXPECT_EQ(written, 2);
  server.stop();
  EXPECT_NE(result(3).outcome, Outcome::kOk);
  EXPECT_EQ(written, 2);
}

TEST_F(UpstreamTest, BilledUnitsAreReadAndNonsenseIsNone) {
  const std::map<std::string, double> told = {{"3", 3},  {"2.5", 2.5}, {"", 0},
                                              {"-1", 0}, {"inf", 0},   {"3 x", 0}};
  std::string now;
  server.on_request = [&](Peer& p, const Request_&) {
    p.write(reply("200 OK", "Billed-Units: " + now + "\r\n"));
  };
  make();
  std::uint64_t id = 0;
  for (const auto& [text, units] : told) {
    now = text;
    EXPECT_DOUBLE_EQ(result(++id).billed_units, units) << text;
  }
}

TEST_F(UpstreamTest, AnErrorMayHaveRun) { EXPECT_EQ(outcome_of(reply("500 Oops")), Outcome::kError); }

TEST_F(UpstreamTest, TurnedAwayOnlyWithTheProof) {
  // Guards against taking a proxy's or a busy server's own 503 for proof that nothing ran.
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("504 No", "X-Never-Ran: 1\r\n")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(reply("503 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("504 No")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("503 No", "X-Never-Ran: 0\r\n")), Outcome::kError);
  EXPECT_EQ(outcome_of(reply("500 No", "X-Never-Ran: 1\r\n")), Outcome::kError);
}

TEST_F(UpstreamTest, RefusedConnectionsNeverRan) {
  make();
  server.stop();
  EXPECT_EQ(result(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, AConnectionThatNeverComesUpNeverRan) {
  // A listener whose line is full lets connects hang, as a vanished machine does.
  tcp::acceptor full(io, {asio::ip::address_v4::loopback(), 0}, true);
  full.listen(0);
  std::deque<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(io);
    fillers.back().async_connect(full.local_endpoint(), [](error_code) {});
  }
  make({15'000'000, 50'000, 10});
  list.endpoints[0].address = full.local_endpoint();
  upstream->update_endpoints(list);
  EXPECT_EQ(result(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, BrokenBeforeTheLastByteNeverRan) {
  // The request is larger than what the socket takes; the server reads little and breaks the connection.
  outgoing.body.assign(32 << 20, 'x');
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [&](error_code) {
    peer.async_wait(tcp::socket::wait_read, [&](error_code) {
      peer.set_option(asio::socket_base::linger(true, 0));
      peer.close();
    });
  });
  make();
  list.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(list);
  EXPECT_EQ(result(1).outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, BrokenAfterItMayHaveRun) {
  EXPECT_EQ(outcome_of("", true), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true), Outcome::kReset);
}

TEST_F(UpstreamTest, AnAnswerWithoutALengthIsWholeOnlyAtAnOrderlyClose) {
  // Guards against half an answer served as the whole, held or already passed on.
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  for (const std::string& body : {std::string("held"), std::string(100'000, 'x')})
    for (const bool orderly : {true, false}) {
      SCOPED_TRACE(::testing::Message() << body.size() << (orderly ? " closed" : " reset"));
      std::shared_ptr<Peer> peer;
      bool sent = false;
      server.on_request = [&](Peer& p, const Request_&) {
        peer = p.shared_from_this();
        asio::async_write(p.socket, asio::buffer(head), [&](error_code, std::size_t) {
          asio::async_write(peer->socket, asio::buffer(body), [&](error_code, std::size_t) { sent = true; });
        });
      };
      passed.clear();
      make();
      send(1);
      // All of it has been read before the connection ends.
      ASSERT_TRUE(until(io, [&] { return sent && (body.size() < kBufferedBodyLimit || passed == body); }));
      wait(io, 1);
      const auto before = results.size();
      orderly ? peer->close() : peer->reset();
      ASSERT_TRUE(until(io, [&] { return results.size() > before; }));
      EXPECT_EQ(results.back().second.outcome, orderly ? Outcome::kOk : Outcome::kReset);
      EXPECT_EQ(results.back().second.body, orderly && body.size() < kBufferedBodyLimit ? body : "");
    }
}

TEST_F(UpstreamTest, AResetThatAWriteIsToldOfFirstIsNoEndOfAnAnswerWithoutALength) {
  // The kernel tells of a reset once: what is read after the write that failed looks like an orderly close.
  // Both are ready in one turn of the loop here, the body that is to be written first.
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io), trigger(io), other(io);
  acceptor.async_accept(peer, [](error_code) {});
  outgoing.upload = std::make_shared<BodyUpload>(10);
  bool wanted = false;
  outgoing.upload->on_consumer_ready = [&] { wanted = true; };
  make();
  list.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(list);
  send(1);
  ASSERT_TRUE(until(io, [&] { return wanted && peer.is_open(); }));
  acceptor.async_accept(other, [](error_code) {});
  trigger.connect(acceptor.local_endpoint());
  ASSERT_TRUE(until(io, [&] { return other.is_open(); }));
  asio::write(peer, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nhalf")));
  trigger.async_wait(tcp::socket::wait_read, [&](error_code) { outgoing.upload->append("0123456789"); });
  while (io.poll() > 0) io.restart();
  io.restart();
  asio::write(other, asio::buffer(std::string_view("x")));
  peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  ASSERT_TRUE(until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kConnectFailed);
  EXPECT_EQ(results[0].second.body, "");
}

TEST_F(UpstreamTest, ALyingServerEndsAsAFailedAttempt) {
  EXPECT_EQ(outcome_of("\x01\x02 nonsense\r\n\r\n"), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x')), Outcome::kReset);
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), Outcome::kReset);
}

TEST_F(UpstreamTest, AnAnswerLargerThanTheProtocolAllowsIsLeft) {
  EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(100'000, 'x')),
            Outcome::kReset);
}

TEST_F(UpstreamTest, ALargeAnswerWaitsForTheClientToTakeIt) {
  server.on_request = [](Peer& p, const Request_&) {
    const auto all =
        std::make_shared<std::string>(reply("200 OK", "Billed-Units: 3\r\n", std::string(900'000, 'x')));
    asio::async_write(p.socket, asio::buffer(*all),
                      [all, self = p.shared_from_this()](error_code, std::size_t) {});
  };
  takes = false;
  make();
  send(1);
  ASSERT_TRUE(until(io, [&] { return !passed.empty(); }));
  const auto first = passed.size();
  EXPECT_LE(first, kReadSize);
  EXPECT_EQ(begun, std::vector<std::optional<std::uint64_t>>{900'000});
  io.restart();
  io.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(passed.size(), first);  // nothing more is asked for
  takes = true;
  upstream->request_more({1, 0});
  ASSERT_TRUE(until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(passed.size(), 900'000u);
  EXPECT_EQ(results[0].second.outcome, Outcome::kOk);
  EXPECT_EQ(written, 1);
}

TEST_F(UpstreamTest, HeldBodiesThatTakeTooMuchTogetherPassThroughSooner) {
  BodyBudget::Share other(budget);
  server.on_request = [](Peer& p, const Request_&) {
    p.write(reply("200 OK", "", std::string(50'000, 'x')));
  };
  make();
  EXPECT_EQ(result(1).body.size(), 50'000u);
  other.set(2 << 20);
  EXPECT_EQ(result(2).body.size(), 0u);
  EXPECT_EQ(passed.size(), 50'000u);
}

TEST_F(UpstreamTest, AnAnswerWhoseChunkHeaderNeverEndsIsLeft) {
  EXPECT_EQ(
      outcome_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(100'000, 'x')),
      Outcome::kReset);
}

TEST_F(UpstreamTest, InterimAnswersArePassedOver) {
  EXPECT_EQ(outcome_of("HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "", "x")), Outcome::kOk);
}

TEST_F(UpstreamTest, AbandonClosesTheConnectionAndTellsWhetherItMayHaveRun) {
  server.on_request = [](Peer&, const Request_&) {};
  make();
  send(1);
  EXPECT_FALSE(upstream->cancel({1, 0}));  // still connecting
  send(2);
  ASSERT_TRUE(until(io, [&] { return !server.requests.empty(); }));
  EXPECT_TRUE(upstream->cancel({2, 0}));
  ASSERT_TRUE(until(io, [&] { return server.peers.back()->over; }));
  EXPECT_TRUE(results.empty());  // who abandons hears no more of it
}

TEST_F(UpstreamTest, WhatEndsAfterTheLastByteMayHaveRunWhicheverNewsComesFirst) {
  // Guards against an unsafe request sent twice: the end of the connection was read before the news that the
  // kernel had taken the last byte. Both wait in the loop here, in that order.
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  outgoing.upload = std::make_shared<BodyUpload>(10);
  bool wanted = false;
  outgoing.upload->on_consumer_ready = [&] { wanted = true; };
  make();
  list.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(list);
  send(1);
  ASSERT_TRUE(until(io, [&] { return wanted && peer.is_open(); }));
  while (io.poll() > 0) io.restart();
  io.restart();
  peer.shutdown(tcp::socket::shutdown_send);
  asio::post(io, [&] {
    outgoing.upload->append("0123456789");
    outgoing.upload->finish();
  });
  ASSERT_TRUE(until(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kReset);
  EXPECT_EQ(written, 1);
}

TEST_F(UpstreamTest, AnAttemptWhoseLastByteNeverLeftIsAbandonedAsOneThatNeverRan) {
  outgoing.body.assign(32 << 20, 'x');  // more than sockets hold, and the server reads nothing
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  tcp::socket peer(io);
  acceptor.async_accept(peer, [](error_code) {});
  make();
  list.endpoints[0].address = acceptor.local_endpoint();
  upstream->update_endpoints(list);
  send(1);
  ASSERT_TRUE(until(io, [&] { return peer.is_open() && peer.available() > 0; }));
  EXPECT_FALSE(upstream->cancel({1, 0}));
}

TEST_F(UpstreamTest, ConnectionsAreKeptAndReused) {
  make();
  for (int i = 1; i <= 5; ++i) {
    EXPECT_EQ(result(std::uint64_t(i)).outcome, Outcome::kOk);
    clock.move(20'000);  // in which a second answer would have come
  }
  EXPECT_EQ(server.peers.size(), 1u);
}

TEST_F(UpstreamTest, ASecondAnswerThatComesLateIsNotTakenForTheNextRequests) {
  // Guards against serving one client what was made for another: the connection was used again at once.
  server.on_request = [&](Peer& p, const Request_& r) {
    if (server.requests.size() == 2) {
      server.peers[0]->write(reply("200 OK", "", "once more"));
      if (&p == server.peers[0].get()) return;
    }
    p.write(reply("200 OK", "", std::string(r["X-Trace-Id"])));
  };
  make();
  clock.stop();
  ASSERT_EQ(result(1).body, "t1");
  outgoing.trace_id = "t2";
  EXPECT_EQ(result(2).body, "t2");
  EXPECT_TRUE(until(io, [&] { return server.peers[0]->over; }));
}

TEST_F(UpstreamTest, AStaleKeepAliveIsNotWrittenTo) {
  // Guards against writing to a connection whose close is there but not yet read: the request would end as a
  // reset that may have run, which costs a keyed one its retry anywhere else.
  make();
  ASSERT_EQ(result(1).outcome, Outcome::kOk);
  server.peers[0]->close();  // no turn of the loop between this and the send
  EXPECT_EQ(result(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2u);
  EXPECT_EQ(server.requests.size(), 2u);
}

TEST_F(UpstreamTest, IdleConnectionsAreRetiredBeforeTheServersLimit) {
  make({500'000, 250'000, 10});
  ASSERT_EQ(result(1).outcome, Outcome::kOk);
  EXPECT_TRUE(until(io, [&] { return server.peers[0]->over; }));
}

TEST_F(UpstreamTest, ConnectionCloseIsHeeded) {
  server.on_request = [](Peer& p, const Request_&) {
    p.write(reply("200 OK", "Connection: close\r\n", "x"));
  };
  make();
  EXPECT_EQ(result(1).outcome, Outcome::kOk);
  EXPECT_EQ(result(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2u);
}

TEST_F(UpstreamTest, ADrainDuringTheConnectIsKept) {
  // Guards against a first byte after a drain: the list changes while the connect is under way.
  make();
  send(1);
  list.complete = false;
  list.endpoints[0].entry.state = EndpointState::kDraining;
  upstream->update_endpoints(list);
  ASSERT_TRUE(until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  ASSERT_TRUE(until(io, [&] { return server.peers.empty() || server.peers[0]->over; }));
  EXPECT_TRUE(server.requests.empty());
}

TEST_F(UpstreamTest, AServerIsToldTheTimeThatIsLeftWhenItsConnectionIsUp) {
  make({15'000'000, 10'000'000, 10});
  send(1);  // with 10 s left
  clock.move(6'000'000);
  ASSERT_TRUE(until(io, [&] { return !results.empty(); }));
  const std::string told(server.requests.at(0)["X-Expires-In"]);
  EXPECT_LE(std::stoll(told), 4'000'000);
  EXPECT_GT(std::stoll(told), 3'000'000);
}

TEST_F(UpstreamTest, NothingIsSentOnAConnectionThatComesUpWhenTheTimeIsOver) {
  make({15'000'000, 20'000'000, 10});
  send(1);
  clock.move(10'000'001);
  ASSERT_TRUE(until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  EXPECT_TRUE(server.requests.empty());
}

TEST_F(UpstreamTest, AConnectUnderWayToAnAddressThatItsServerHasLeftCarriesNothing) {
  FakeServer other(io);
  make();
  send(1);
  list.complete = false;
  list.endpoints[0].address = other.address();
  upstream->update_endpoints(list);
  ASSERT_TRUE(until(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].second.outcome, Outcome::kNotSent);
  EXPECT_TRUE(server.requests.empty());
}

TEST_F(UpstreamTest, AServerThatDrainsOrIsUnknownIsSentNothing) {
  make();
  list.endpoints[0].entry.state = EndpointState::kRemoved;
  upstream->update_endpoints(list);
  EXPECT_EQ(result(1).outcome, Outcome::kNotSent);
  upstream->send({2, 0}, "nobody", outgoing, clock.now() + 1'000'000);
  ASSERT_TRUE(until(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results[1].second.outcome, Outcome::kNotSent);
}

TEST_F(UpstreamTest, ARestartedOrMovedServerGetsNewConnections) {
  // Guards against sending to a vanished machine on connections that stay open and silent.
  FakeServer moved(io);
  make();
  ASSERT_EQ(result(1).outcome, Outcome::kOk);
  list.endpoints[0].entry.started_at = clock.now();
  upstream->update_endpoints(list);
  ASSERT_EQ(result(2).outcome, Outcome::kOk);
  EXPECT_EQ(server.peers.size(), 2u);
  list.endpoints[0].address = moved.address();
  upstream->update_endpoints(list);
  ASSERT_EQ(result(3).outcome, Outcome::kOk);
  EXPECT_EQ(moved.requests.size(), 1u);
}

TEST_F(UpstreamTest, AServerThatHasLeftTheListIsForgottenWithItsConnections) {
  // Guards against memory that grows with each release.
  make();
  ASSERT_EQ(result(1).outcome, Outcome::kOk);
  list.complete = false;
  list.endpoints[0].entry.state = EndpointState::kRemoved;
  upstream->update_endpoints(list);
  EXPECT_FALSE(upstream->is_known("s"));
  EXPECT_TRUE(until(io, [&] { return server.peers[0]->over; }));
  list.complete = true;
  list.endpoints = {member("a", server), member("b", server)};
  upstream->update_endpoints(list);
  list.endpoints = {member("b", server)};
  upstream->update_endpoints(list);
  EXPECT_FALSE(upstream->is_known("a"));
  EXPECT_TRUE(upstream->is_known("b"));
}

TEST_F(UpstreamTest, TheNumberOfConnectionsIsBounded) {
  server.on_request = [](Peer&, const Request_&) {};
  make({15'000'000, 250'000, 2});
  send(1);
  send(2);
  EXPECT_EQ(result(3).outcome, Outcome::kNotSent);
}

}  // namespace
}  // namespace quota_gateway::net::testing
