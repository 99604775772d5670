#ifndef FILBERTGW_BENCH_PROMISES_WORLD_H
#define FILBERTGW_BENCH_PROMISES_WORLD_H

#include "promises/trace.h"

#include <cstdint>
#include <memory>
#include <string>

namespace filbertgw::bench {

/** \brief Sizes and distances of one deployment. */
struct Deployment
{
    std::string name_;
    int engines_ = 0;
    int services_ = 0;
    Micros callerOneWay_ = 0;
};

/** \brief The deployment of this name; its name_ is empty if there is none. */
Deployment deploymentNamed(const std::string &name);

/**
 * \brief Runs one random fault schedule in virtual time, with real ProgramControllers over a FakeLog.
 * \param broken name of the safeguard that is switched off, empty for none
 */
Trace runSchedule(const Deployment &deployment, std::uint64_t seed, const std::string &broken);

} // namespace filbertgw::bench

#endif
