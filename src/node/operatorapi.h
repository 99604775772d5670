#ifndef FILBERTGW_NODE_OPERATORAPI_H
#define FILBERTGW_NODE_OPERATORAPI_H

#include "blackboard/blackboard.h"
#include "core/metrics.h"
#include "net/httptypes.h"
#include "node/authenticator.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief Functions of the node that OperatorApi exposes. */
struct OperatorHooks
{
    std::function<nlohmann::json()> state_;
    std::function<nlohmann::json(const ProgramId &)> explain_; ///< Null if the program is unknown.
    std::function<bool()> isReady_;
    std::function<void()> drain_;
    std::function<void()> updateGauges_; ///< Called before the metrics are written.
};

/** \brief The HTTP interface to operators and to the platform's health checks. */
class OperatorApi
{
public:
    OperatorApi(const Authenticator &authenticator, const Metrics &metrics, OperatorHooks hooks);

    /** \brief Handles a request if its path belongs to this interface. \return false if it does not. */
    bool handle(const HttpRequest &request, HttpReply &reply) const;

private:
    void state(const std::string &query, HttpReply &reply) const;

    const Authenticator &authenticator_;
    const Metrics &metrics_;
    OperatorHooks hooks_;
};

} // namespace filbertgw

#endif
