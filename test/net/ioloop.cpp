#include "loopfixture.h"
#include "net/udpsocket.h"

#include <csignal>

#include <thread>

using namespace filbertgw;
using filbertgw::testing::LoopFixture;

// Guards against tasks of other threads that are lost or run beside the loop.
TEST_F(LoopFixture, RunsTasksOfOtherThreadsOnTheLoop)
{
    constexpr int threads = 4;
    constexpr int tasks = 1000;
    int ran = 0; // Not atomic: TSan reports a task that runs on another thread.
    std::vector<std::thread> all;
    for (int i = 0; i < threads; ++i) {
        all.emplace_back([this, &ran] {
            for (int task = 0; task < tasks; ++task) {
                loop_.post([&ran] { ++ran; });
            }
        });
    }
    runUntil([&ran] { return ran == threads * tasks; });
    for (std::thread &thread : all) {
        thread.join();
    }
}

// Guards against timers that run after cancel(), also from within themselves, or out of order.
TEST_F(LoopFixture, TimersRunInOrderUntilCancelled)
{
    std::vector<std::string> ran;
    std::uint64_t repeated = 0;
    int repeats = 0;
    loop_.after(Duration{3000}, [&ran] { ran.emplace_back("late"); });
    loop_.after(Duration{1000}, [&ran] { ran.emplace_back("early"); });
    const std::uint64_t cancelled = loop_.after(Duration{2000}, [&ran] { ran.emplace_back("cancelled"); });
    repeated = loop_.every(Duration{500}, [this, &repeated, &repeats] {
        if (++repeats == 3) {
            loop_.cancel(repeated);
        }
    });
    loop_.cancel(cancelled);
    runUntil([&ran] { return ran.size() == 2; });
    bool later = false;
    loop_.after(Duration{5000}, [&later] { later = true; });
    runUntil([&later] { return later; });
    EXPECT_EQ(ran, (std::vector<std::string>{"early", "late"}));
    EXPECT_EQ(repeats, 3);
}

// Guards against a planned stop that ends the process at once.
TEST_F(LoopFixture, StopSignalsReachTheHandler)
{
    int signals = 0;
    loop_.onStopSignal([&signals] { ++signals; });
    std::raise(SIGTERM);
    runUntil([&signals] { return signals == 1; });
    std::raise(SIGINT);
    runUntil([&signals] { return signals == 2; });
}

// Guards against datagrams that are cut or mixed up, and a socket that fails after a send to a closed port.
TEST_F(LoopFixture, DatagramsArriveWhole)
{
    std::vector<std::string> received;
    Result<std::unique_ptr<UdpSocket>> a = UdpSocket::bind(loop_, "127.0.0.1:0", [](const std::string &) {});
    Result<std::unique_ptr<UdpSocket>> b = UdpSocket::bind(
        loop_, "127.0.0.1:0", [&received](const std::string &datagram) { received.push_back(datagram); });
    ASSERT_TRUE(a && b);
    (*a)->send("127.0.0.1:1", "nobody listens");
    (*a)->send("nonsense", "dropped");
    const std::string target = "127.0.0.1:" + std::to_string((*b)->port());
    const std::vector<std::string> sent{"", "short", std::string(60'000, 'x')};
    for (const std::string &datagram : sent) {
        (*a)->send(target, datagram);
    }
    runUntil([&received] { return received.size() == 3; });
    EXPECT_EQ(received, sent);
    EXPECT_FALSE(UdpSocket::bind(loop_, target, {}));
    EXPECT_FALSE(UdpSocket::bind(loop_, "nonsense", {}));
}
