#ifndef FILBERTGW_TEST_NET_LOOPFIXTURE_H
#define FILBERTGW_TEST_NET_LOOPFIXTURE_H

#include "net/ioloop.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace filbertgw::testing {

/** \brief Runs a loop until a condition holds. */
class LoopFixture : public ::testing::Test
{
public:
    /** \brief Runs the loop until done() returns true. The long limit ends a hung test; nothing else depends on it. */
    void runUntil(const std::function<bool()> &done)
    {
        bool gaveUp = false;
        const std::uint64_t limit = loop_.after(std::chrono::seconds(60), [this, &gaveUp] {
            gaveUp = true;
            loop_.stop();
        });
        const std::uint64_t check = loop_.every(std::chrono::milliseconds(1), [this, &done] {
            if (done()) {
                loop_.stop();
            }
        });
        if (!done()) {
            loop_.run();
        }
        loop_.cancel(limit);
        loop_.cancel(check);
        ASSERT_FALSE(gaveUp) << "the condition was not reached";
    }

    IoLoop loop_;
};

/** \brief A blocking socket of a test's own, for what no well-behaved client would send. */
class RawSocket
{
public:
    /** \param receiveBytes size of the receive buffer, 0 for the default. */
    explicit RawSocket(std::uint16_t port, int receiveBytes = 0);
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    ~RawSocket();

    void send(const std::string &bytes);
    /** \brief Takes what has arrived, without waiting. \return false once the peer has closed. */
    bool receive();
    void close();

    std::string received_;
    bool isReset_ = false; ///< The peer has closed with a reset.

private:
    int descriptor_;
};

/** \brief What a server does after an answer. */
enum class AfterAnswer : std::uint8_t {
    KeepOpen,
    Close,
    Reset,
};

/** \brief A listening socket of a test's own, for answers that no well-behaved server would send. */
class RawListener
{
public:
    RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;
    ~RawListener();

    std::uint16_t port() const;
    /** \brief Takes waiting connections and answers each request that has arrived on them. */
    void serve(const std::string &answer, bool closes);
    /** \brief Sends bytes on each open connection, whether or not a request has arrived on it. */
    void write(const std::string &bytes);
    void serve(const std::string &answer, AfterAnswer then);
    /** \brief Requests that have arrived. */
    int requests() const;

private:
    int descriptor_;
    int requests_ = 0;
    std::map<int, std::string> connections_; ///< Bytes received, by descriptor.
};

} // namespace filbertgw::testing

#endif
