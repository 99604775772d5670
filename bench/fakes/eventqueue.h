#ifndef FILBERTGW_BENCH_FAKES_EVENTQUEUE_H
#define FILBERTGW_BENCH_FAKES_EVENTQUEUE_H

#include "core/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace filbertgw::bench {

/** \brief Virtual time: events run in time order, those of the same time in the order of posting. */
class EventQueue
{
public:
    Time now() const
    {
        return now_;
    }
    void at(Time time, std::function<void()> action)
    {
        events_.push(Event{std::max(time, now_), ++sequence_, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }
    /** \brief Runs everything that is due up to and including `end`. */
    void runUntil(Time end)
    {
        while (!events_.empty() && events_.top().time_ <= end) {
            Event event = std::move(const_cast<Event &>(events_.top()));
            events_.pop();
            now_ = event.time_;
            event.action_();
        }
        now_ = std::max(now_, end);
    }

private:
    struct Event
    {
        Time time_{0};
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;
        bool operator<(const Event &other) const
        {
            return time_ != other.time_ ? time_ > other.time_ : sequence_ > other.sequence_;
        }
    };
    Time now_{0};
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace filbertgw::bench

#endif
