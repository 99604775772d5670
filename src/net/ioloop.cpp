#include "net/ioloopprivate.h"

#include <boost/asio/post.hpp>

#include <csignal>

namespace filbertgw {

std::uint64_t IoLoop::Private::start(Duration delay, Duration period, std::function<void()> task)
{
    const std::uint64_t id = nextTimer_++;
    const std::shared_ptr<Timer> timer =
        std::make_shared<Timer>(Timer{boost::asio::steady_timer(context_), period, std::move(task)});
    timer->timer_.expires_after(delay);
    timers_.emplace(id, timer);
    wait(id, timer);
    return id;
}

void IoLoop::Private::wait(std::uint64_t id, const std::shared_ptr<Timer> &timer)
{
    timer->timer_.async_wait([this, id, timer](const boost::system::error_code &error) {
        // A timer that was cancelled after it had expired is still called without an error.
        if (error || timers_.count(id) == 0) {
            return;
        }
        if (timer->period_ == Duration{0}) {
            timers_.erase(id);
        }
        timer->task_();
        if (timers_.count(id) != 0) {
            timer->timer_.expires_after(timer->period_);
            wait(id, timer);
        }
    });
}

void IoLoop::Private::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        stopHandler_();
        waitForSignal();
    });
}

void IoLoop::Private::waitForReloadSignal()
{
    reloadSignals_.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        reloadHandler_();
        waitForReloadSignal();
    });
}

IoLoop::IoLoop()
    : d_(std::make_unique<Private>())
{
    d_->startWall_ = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
    d_->startSteady_ = std::chrono::steady_clock::now();
}

IoLoop::~IoLoop() = default;

void IoLoop::run()
{
    d_->context_.run();
    d_->context_.restart();
}

void IoLoop::stop()
{
    d_->context_.stop();
}

void IoLoop::post(std::function<void()> task)
{
    boost::asio::post(d_->context_, std::move(task));
}

std::uint64_t IoLoop::after(Duration delay, std::function<void()> task)
{
    return d_->start(delay, Duration{0}, std::move(task));
}

std::uint64_t IoLoop::every(Duration period, std::function<void()> task)
{
    return d_->start(period, period, std::move(task));
}

void IoLoop::cancel(std::uint64_t timer)
{
    const auto found = d_->timers_.find(timer);
    if (found == d_->timers_.end()) {
        return;
    }
    const std::shared_ptr<Private::Timer> kept = found->second;
    d_->timers_.erase(found);
    kept->timer_.cancel();
}

void IoLoop::onStopSignal(std::function<void()> handler)
{
    const bool first = !d_->stopHandler_;
    d_->stopHandler_ = std::move(handler);
    if (first) {
        d_->signals_.add(SIGTERM);
        d_->signals_.add(SIGINT);
        d_->waitForSignal();
    }
}

void IoLoop::onReloadSignal(std::function<void()> handler)
{
    const bool first = !d_->reloadHandler_;
    d_->reloadHandler_ = std::move(handler);
    if (first) {
        d_->reloadSignals_.add(SIGHUP);
        d_->waitForReloadSignal();
    }
}

Time IoLoop::now() const
{
    // The wall clock can be set back, so that it is read once only.
    return d_->startWall_ + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - d_->startSteady_);
}

IoLoop::Private &IoLoop::d()
{
    return *d_;
}

} // namespace filbertgw
