// Instants at which something is still owed: a drain, an exit, a signal while starting, a fault in mid-batch.
#include <sys/ioctl.h>
#include <sys/stat.h>

#include <iostream>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

// The clients' side alone; each request is served at once.
class ClientListenerTest : public ::testing::Test {
 protected:
  ClientListenerTest() {
    ClassSettings read;
    read.name = "profile-read";
    read.idempotency = Idempotency::kIdempotent;
    settings.classes = {read};
    front.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  }
  asio::io_context io;
  TestClock clock;
  Timers timers{io, clock};
  Settings settings;
  std::string body = "x";  // of each answer
  int taken = 0;           // requests
  BodyBudget budget{1 << 20};
  ClientListener::Callbacks callbacks(ClientListener& of) {
    return {[this, &of](std::uint64_t client, ClientRequest) {
              ++taken;
              asio::post(io, [this, &of, client] { of.respond(client, {200, 0, body}); });
              return std::uint64_t(1);
            },
            [](std::uint64_t, Micros) {},
            [](std::uint64_t, Micros) {},
            [](std::uint64_t) {},
            [](std::uint64_t) {},
            [] {}};
  }
  ClientListener front{io, timers, clock, settings, 100, budget, callbacks(front)};
};

TEST_F(ClientListenerTest, AClientBetweenRequestsWithOneUnreadIsOwedAnAnswer) {
  Client c(io, front.address());
  c.send(get("a"));
  ASSERT_TRUE(c.receive());
  EXPECT_TRUE(front.is_idle());
  c.send(get("b"));  // no turn of the loop between this and the look
  EXPECT_FALSE(front.is_idle());
  front.drain();
  EXPECT_FALSE(front.is_idle());
  EXPECT_TRUE(c.receive());
}

TEST_F(ClientListenerTest, WhatTheKernelHasAcceptedIsAnsweredAfterTheLastAccept) {
  std::deque<Client> clients;
  for (int i = 0; i < 5; ++i) {
    clients.emplace_back(io, front.address());
    clients.back().send(get("a"));
  }
  front.drain();
  front.stop_accepting();  // none has been accepted by us
  for (Client& c : clients) EXPECT_TRUE(c.receive());
}

TEST_F(ClientListenerTest, WhatComesAsAConnectionIsLeftIsNotReadAndTakesNoAnswerAlong) {
  // Guards against a close that bytes cross: it resets the connection, with what the client has yet to take.
  body.assign(400'000, 'x');
  Client c(io, front.address());
  c.send(get("a"));
  ASSERT_TRUE(until(io, [&] { return taken == 1 && c.socket.available() > 0; }));
  wait(io, 20);  // all of it is the kernel's now, and a part of that the client's
  front.drain();
  c.send(get("b"));  // it has not seen yet that no more is answered
  wait(io, 20);
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->body() == body);
  std::optional<error_code> ended;
  char byte;
  c.socket.async_read_some(asio::buffer(&byte, 1), [&](error_code ec, std::size_t) { ended = ec; });
  ASSERT_TRUE(until(io, [&] { return ended.has_value(); }));
  EXPECT_EQ(*ended, asio::error::eof);
  EXPECT_EQ(taken, 1);
}

TEST_F(ClientListenerTest, ALastAnswerThatItsClientTakesSlowlyIsNotTakenAwayByWhatTheClientSends) {
  body.assign(400'000, 'x');
  front.drain();
  Client c(io, front.address());
  c.send(get("a"));
  ASSERT_TRUE(until(io, [&] { return taken == 1 && c.socket.available() > 0; }));
  wait(io, 20);
  clock.move(3'000'000);
  wait(io, 250);  // a sweep has passed
  c.send(get("b"));
  wait(io, 20);
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->body() == body);
  EXPECT_EQ(taken, 1);
}

TEST_F(ClientListenerTest, AClientWhoseAnswerIsNotAllTakenMakesNoRoomForAnother) {
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  Client first(io, small.address()), second(io, small.address());
  body.assign(400'000, 'x');
  first.send(get("a"));
  ASSERT_TRUE(until(io, [&] { return first.socket.available() > 0; }));
  wait(io, 20);
  body = "x";
  second.send(get("a"));
  ASSERT_TRUE(second.receive());
  Client third(io, small.address());
  third.send(get("c"));  // the longest quiet one would go first
  EXPECT_TRUE(third.receive());
  first.send(get("b"));
  wait(io, 20);
  const auto answer = first.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body().size(), 400'000u);
  EXPECT_TRUE(second.ended());
}

TEST_F(ClientListenerTest, ThoseThatHaveTheirLastAnswerKeepNoClientWaiting) {
  // Guards against requests that wait in the backlog, their time running, behind strangers that do not close.
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  clock.stop();
  std::deque<Client> strangers;
  for (int i = 0; i < 3; ++i) {
    strangers.emplace_back(io, small.address());
    strangers.back().send("nonsense\r\n\r\n");
    ASSERT_TRUE(strangers.back().receive());
  }
  Client c(io, small.address());
  c.send(get("a"));
  for (int i = 0; i < 25 && taken == 0; ++i) {  // half of the second that they may linger
    timers.schedule_after(1'000, [] {});
    clock.move(20'000);
    wait(io, 10);
  }
  EXPECT_EQ(taken, 1);
}

TEST_F(ClientListenerTest, AClientWithARequestUnreadMakesNoRoomForAnother) {
  ClientListener small{io, timers, clock, settings, 2, budget, callbacks(small)};
  small.listen({asio::ip::address_v4::loopback(), 0}, std::nullopt);
  Client first(io, small.address()), second(io, small.address());
  for (Client* c : {&first, &second}) {
    c->send(get("a"));
    ASSERT_TRUE(c->receive());
  }
  Client third(io, small.address());  // the line has it, and its request is read in the turn that takes it
  first.send(get("b"));               // the longest quiet one would go first
  EXPECT_TRUE(first.receive());
  third.send(get("c"));
  EXPECT_TRUE(third.receive());
  EXPECT_TRUE(second.ended());
}

TEST(Ending, ATerminationRightBehindAHangupFinishesWhatIsHeld) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery before(io), after(io);
  std::shared_ptr<Peer> held;
  server.on_request = [&](Peer& p, const Request_&) { held = p.shared_from_this(); };
  const auto port = free_port(io);
  Process p(config(port, server, before));
  ASSERT_NE(p.log_until("ready").find("ready"), std::string::npos);
  Client c(io, {asio::ip::address_v4::loopback(), port});
  c.send(get("a"));
  ASSERT_TRUE(until(io, [&] { return held != nullptr; }));
  p.reconfigure(config(port, server, after));
  p.terminate();
  ASSERT_NE(p.log_until("draining").find("draining"), std::string::npos);
  held->write(reply("200 OK", "", "held"));
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "held");
  EXPECT_TRUE(c.ended());
  EXPECT_EQ(p.exit_code(), 0);
}

TEST(Ending, AProcessKilledInMidAnswerLeavesNoClientTheBeliefThatItHasTheWhole) {
  // A client of HTTP/1.0 takes an orderly close for the end of an answer without a length.
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  server.on_request = [](Peer& p, const Request_&) {
    const auto all = std::make_shared<std::string>("HTTP/1.1 200 OK\r\n\r\n" + std::string(100'000, 'x'));
    asio::async_write(p.socket, asio::buffer(*all),
                      [all, self = p.shared_from_this()](error_code, std::size_t) {});
  };
  const auto port = free_port(io);
  Process p(config(port, server, discovery));
  ASSERT_NE(p.log_until("ready").find("ready"), std::string::npos);
  Client c(io, {asio::ip::address_v4::loopback(), port});
  std::string request = get("a");
  request.replace(request.find("HTTP/1.1") + 5, 3, "1.0");
  c.send(request);
  ASSERT_TRUE(until(io, [&] { return c.socket.available() > 100'000; }));
  p.kill();
  EXPECT_FALSE(c.receive());
}

TEST(Ending, AnAnswerIsOwedUntilItsClientHasTakenIt) {
  Rig rig;
  FakeServer s1(rig.io);
  std::shared_ptr<Peer> held;
  s1.on_request = [&](Peer& p, const Request_&) { held = p.shared_from_this(); };
  rig.know(member("s1", s1));
  Coordinator& coordinator = rig.start();
  std::optional<Client> c(rig.client());
  c->send(post("a"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  bool done = false;
  coordinator.drain([&] { done = true; });
  wait(rig.io, 1100);  // new ones are let in for 1 s
  held->write(reply("200 OK", "", "held"));
  ASSERT_TRUE(rig.until([&] { return c->socket.available() > 0; }));
  wait(rig.io, 100);
  EXPECT_FALSE(done);
  EXPECT_TRUE(c->receive());
  c.reset();
  EXPECT_TRUE(rig.until([&] { return done; }));
}

TEST(Ending, OneTimerThatFailsLeavesTheOthersOfItsInstant) {
  asio::io_context io;
  Clock clock;
  Timers timers(io, clock);
  int fired = 0;
  const Micros at = clock.now() + 1000;
  timers.schedule_at(at, [] { throw std::runtime_error("first"); });
  for (int i = 0; i < 3; ++i) timers.schedule_at(at, [&] { ++fired; });
  EXPECT_THROW(until(io, [&] { return fired == 3; }), std::runtime_error);
  EXPECT_TRUE(until(io, [&] { return fired == 3; }));
}

TEST(Ending, OneActionThatFailsLeavesTheOthersOfItsBatch) {
  Rig rig;
  rig.start();  // knows no server; a log line, which fails here, comes before the timer that ends the wait
  Client c = rig.client();
  struct Broken : std::streambuf {
  } broken;  // takes nothing
  const auto kept = std::cerr.rdbuf(&broken);
  std::cerr.exceptions(std::ios::badbit);
  c.send(get("a"));
  const auto answer = c.receive();
  std::cerr.exceptions(std::ios::goodbit);
  std::cerr.rdbuf(kept);
  std::cerr.clear();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(),
            429u);  // refused once it had waited; nothing but the backstop ends it with 502
}

TEST(Ending, ATerminationWhileStartingIsHeeded) {
  // Guards against a process ended by the signal with clients in its socket: it is held half way through its
  // configuration here.
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  char dir[] = "/tmp/quota-gateway-test-XXXXXX";
  ASSERT_NE(::mkdtemp(dir), nullptr);
  const std::string fifo = std::string(dir) + "/config", text = config(free_port(io), server, discovery);
  ASSERT_EQ(::mkfifo(fifo.c_str(), 0600), 0);
  const int file = ::open(fifo.c_str(), O_RDWR | O_CLOEXEC);
  Process p(Process::From{fifo});
  ASSERT_EQ(::write(file, text.data(), 10), 10);
  int unread = 1;
  ASSERT_TRUE(until(io, [&] { return ::ioctl(file, FIONREAD, &unread) == 0 && unread == 0; }));
  p.terminate();
  EXPECT_EQ(::write(file, text.data() + 10, text.size() - 10), ssize_t(text.size() - 10));
  ASSERT_TRUE(until(io, [&] { return ::ioctl(file, FIONREAD, &unread) == 0 && unread == 0; }));
  ::close(file);
  EXPECT_EQ(p.exit_code(), 0);
  ::unlink(fifo.c_str());
  ::rmdir(dir);
}

TEST(Ending, AKeyedRequestIsNotRepeatedWhereALateConnectionWouldCarryItPastItsWindow) {
  Rig rig;
  FakeServer s1(rig.io), s2(rig.io);
  asio::steady_timer timer(rig.io);
  int seen = 0;
  s1.on_request = s2.on_request = [&](Peer& p, const Request_&) {
    if (++seen > 1) return p.write(reply("200 OK", "", "x"));
    timer.expires_after(std::chrono::milliseconds(450));
    timer.async_wait([peer = p.shared_from_this()](error_code) { peer->reset(); });
  };
  rig.config.settings.connect_timeout = 250'000;
  rig.config.settings.classes[1].dedup_window = 600'000;
  rig.know(member("s1", s1));
  rig.know(member("s2", s2));
  rig.start();
  Client c = rig.client();
  c.send(post("a"));
  const auto answer = c.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 502u);
  EXPECT_EQ(seen, 1);
}

}  // namespace
}  // namespace quota_gateway::net::testing
