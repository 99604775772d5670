#ifndef FILBERTGW_NODE_CALLERAPI_H
#define FILBERTGW_NODE_CALLERAPI_H

#include "blackboard/blackboard.h"
#include "core/metrics.h"
#include "net/httptypes.h"
#include "node/apitypes.h"
#include "node/authenticator.h"
#include "node/callerstream.h"
#include "node/nodehooks.h"
#include "node/programforwarder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Functions by which CallerApi enforces the limits of accounts. */
struct AccountLimitHooks
{
    std::function<std::optional<Failure>(const AccountId &)> beginCall_;
    std::function<void(const AccountId &)> endCall_;
    std::function<std::optional<Failure>(const AccountId &)> beginProgram_;
    /** \brief Reports the result of an admitted creation; the program id is empty if the creation failed. */
    std::function<void(const AccountId &, const ProgramId &)> programCreated_;
};

/** \brief The HTTP interface to callers: authentication, limits, parsing, responses; see docs/design.md, section 12. */
class CallerApi
{
public:
    CallerApi(const NodeHooks &hooks,
              Authenticator &authenticator,
              AccountLimitHooks accountLimits,
              ProgramForwarder &forwarder,
              Metrics &metrics);

    /** \brief Handles a request under `/v1/`. */
    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);

private:
    struct Route
    {
        ApiRequest request_;
        ResponseFormat format_ = ResponseFormat::Native;
        bool streamed_ = false;
        std::optional<Failure> failure_;
    };

    Route routeOf(const HttpRequest &request, const AccountId &account) const;
    Route programRoute(const HttpRequest &request, const AccountId &account) const;
    void run(const Route &route, const std::shared_ptr<HttpReply> &reply);
    void runCreate(const ApiRequest &request, const std::shared_ptr<HttpReply> &reply, const ApiSink &sink);
    void runCall(const Route &route, const std::shared_ptr<HttpReply> &reply);
    void chat(const HttpRequest &request, const AccountId &account, const std::shared_ptr<HttpReply> &reply);
    void chatInProgram(const ProgramId &program,
                       const HttpRequest &request,
                       const nlohmann::json &body,
                       const AccountId &account,
                       const std::shared_ptr<HttpReply> &reply);
    void logFailure(const ApiRequest &request, const Failure &failure) const;
    RequestId randomRequestId() const;

    const NodeHooks &hooks_;
    Authenticator &authenticator_;
    AccountLimitHooks accountLimits_;
    ProgramForwarder &forwarder_;
    Metrics &metrics_;
};

} // namespace filbertgw

#endif
