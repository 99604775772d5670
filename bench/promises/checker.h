#ifndef FILBERTGW_BENCH_PROMISES_CHECKER_H
#define FILBERTGW_BENCH_PROMISES_CHECKER_H

#include "promises/trace.h"

namespace filbertgw::bench {

/**
 * \brief Checks H1–H10 over a trace.
 *
 * It shares no code with what it checks: it uses what callers sent and got, what endpoints saw, what engines hold and
 * which configuration the nodes served.
 */
std::vector<Violation> checkTrace(const Trace &trace);

/** \brief The answer that an endpoint gives to a request with a prompt; known to endpoints and checker only. */
std::string expectedAnswer(const std::string &request, const std::string &prompt);

} // namespace filbertgw::bench

#endif
