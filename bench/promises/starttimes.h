#ifndef FILBERTGW_BENCH_PROMISES_STARTTIMES_H
#define FILBERTGW_BENCH_PROMISES_STARTTIMES_H

#include "promises/trace.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief How long a call took from its caller to an endpoint. */
struct CallStart
{
    Micros sentAt_ = 0;
    double seconds_ = 0;
    bool duringStop_ = false; ///< The owner of its program was stopping as planned when it was sent.
};

/**
 * \brief Measures how long calls take from their callers to an endpoint.
 *
 * A caller's retries of a call that reached no endpoint count as one wait. If an endpoint refuses a call and the caller
 * has to send it again, the wait ends with the refusal and a new one begins when it is sent again: the pause that the
 * refusal asks for is due to the endpoint.
 */
class StartTimes
{
public:
    void onSent(const std::string &call, Micros at, bool duringStop)
    {
        if (known_.insert(call).second || refused_.erase(call) > 0) {
            open_[call] = CallStart{at, 0, duringStop};
        }
    }
    void onStarted(const std::string &call, Micros at)
    {
        end(call, at);
    }
    /** \brief An endpoint refused a call that the node may not send elsewhere. */
    void onRefused(const std::string &call, Micros at)
    {
        if (end(call, at)) {
            refused_.insert(call);
        }
    }
    const std::vector<CallStart> &starts() const
    {
        return starts_;
    }

private:
    bool end(const std::string &call, Micros at)
    {
        const std::map<std::string, CallStart>::iterator found = open_.find(call);
        if (found == open_.end()) {
            return false;
        }
        constexpr double microsPerSecond = 1'000'000;
        found->second.seconds_ = static_cast<double>(at - found->second.sentAt_) / microsPerSecond;
        starts_.push_back(found->second);
        open_.erase(found);
        return true;
    }

    std::set<std::string> known_;
    std::set<std::string> refused_;
    std::map<std::string, CallStart> open_;
    std::vector<CallStart> starts_;
};

} // namespace filbertgw::bench

#endif
