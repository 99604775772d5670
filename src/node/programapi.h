#ifndef FILBERTGW_NODE_PROGRAMAPI_H
#define FILBERTGW_NODE_PROGRAMAPI_H

#include "blackboard/blackboard.h"
#include "core/metrics.h"
#include "node/apitypes.h"
#include "node/nodehooks.h"
#include "node/textstreams.h"
#include "policy/scheduler.h"
#include "program/programcontroller.h"

#include <set>

namespace filbertgw {

/** \brief Runs the requests of callers for the programs that this node owns. */
class ProgramApi
{
public:
    ProgramApi(const NodeHooks &hooks,
               const Blackboard &blackboard,
               ProgramController &programs,
               Scheduler &scheduler,
               TextStreams &streams,
               Metrics &metrics);

    /** \brief Runs a request and calls the sink's done_ once. \return a function to call if the caller disconnects. */
    ApiCancel run(const ApiRequest &request, const ApiSink &sink);
    /** \brief Drops the state of a program that has ended. */
    void forget(const ProgramId &program);

private:
    void create(const ApiRequest &request, const ApiSink &sink);
    ApiCancel call(const ApiRequest &request, const ApiSink &sink);
    void callAnswer(const ApiRequest &request, const ApiSink &sink);
    void status(const ApiRequest &request, const ApiSink &sink);
    void history(const ApiRequest &request, const ApiSink &sink);
    void end(const ApiRequest &request, const ApiSink &sink);
    std::optional<Failure> admit(const CallRequest &call);

    const NodeHooks &hooks_;
    const Blackboard &blackboard_;
    ProgramController &programs_;
    Scheduler &scheduler_;
    TextStreams &streams_;
    Metrics &metrics_;
    std::set<ProgramId> admitted_; ///< Programs whose first call was admitted at this node.
};

/** \brief Converts the result of a call to the form that callers and peers get. */
ApiResult apiResultOf(const CallAnswer &answer);

/** \brief Parses and validates the body of `POST /v1/programs`. */
Result<CreateRequest> parseCreate(const ApiRequest &request, const Blackboard &blackboard, Time now);

/** \brief Parses and validates the body of `POST /v1/programs/P/calls`. */
Result<CallRequest> parseCall(const ApiRequest &request, const Blackboard &blackboard, Time now);

} // namespace filbertgw

#endif
