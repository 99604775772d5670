#ifndef FILBERTGW_NET_IOLOOP_H
#define FILBERTGW_NET_IOLOOP_H

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace filbertgw {

/** \brief The decision loop of a process: one thread that runs sockets, timers and controllers. */
class IoLoop
{
public:
    IoLoop();
    ~IoLoop();

    /** \brief Runs until stop(). */
    void run();
    void stop();
    /** \brief Runs a task on the loop; may be called from any thread. */
    void post(std::function<void()> task);
    /** \brief Runs a task once after a delay. \return an id for cancel(). */
    std::uint64_t after(Duration delay, std::function<void()> task);
    /** \brief Runs a task again and again. */
    std::uint64_t every(Duration period, std::function<void()> task);
    void cancel(std::uint64_t timer);
    /** \brief Calls the handler on SIGTERM and SIGINT in place of ending the process. */
    void onStopSignal(std::function<void()> handler);
    /** \brief Calls the handler on SIGHUP in place of ending the process. */
    void onReloadSignal(std::function<void()> handler);
    /** \brief Microseconds since the Unix epoch; never goes back within a process. */
    Time now() const;

    /** \brief The Asio context and its timers; only for the net module. */
    struct Private;
    Private &d();

private:
    std::unique_ptr<Private> d_;
};

} // namespace filbertgw

#endif
