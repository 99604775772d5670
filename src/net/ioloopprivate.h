#ifndef FILBERTGW_NET_IOLOOPPRIVATE_H
#define FILBERTGW_NET_IOLOOPPRIVATE_H

#include "net/ioloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <unordered_map>

namespace filbertgw {

/** \brief The Asio context behind an IoLoop; included by the .cpp files of this module only. */
struct IoLoop::Private
{
    struct Timer
    {
        boost::asio::steady_timer timer_;
        Duration period_; ///< 0 for a task that runs once.
        std::function<void()> task_;
    };

    // One thread runs the context; the hint lets Asio skip most of its locking.
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{context_.get_executor()};
    boost::asio::signal_set signals_{context_};
    std::unordered_map<std::uint64_t, std::shared_ptr<Timer>> timers_;
    std::uint64_t nextTimer_ = 1;
    boost::asio::signal_set reloadSignals_{context_};
    std::function<void()> stopHandler_;
    std::function<void()> reloadHandler_;
    Time startWall_{0};
    std::chrono::steady_clock::time_point startSteady_;

    std::uint64_t start(Duration delay, Duration period, std::function<void()> task);
    void wait(std::uint64_t id, const std::shared_ptr<Timer> &timer);
    void waitForSignal();
    void waitForReloadSignal();
};

} // namespace filbertgw

#endif
