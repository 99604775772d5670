#include "node/operatorapi.h"

#include "node/callerstream.h"
#include "node/errortable.h"

namespace filbertgw {

OperatorApi::OperatorApi(const Authenticator &authenticator, const Metrics &metrics, OperatorHooks hooks)
    : authenticator_(authenticator)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

bool OperatorApi::handle(const HttpRequest &request, HttpReply &reply) const
{
    const std::size_t queryStart = request.target_.find('?');
    const std::string path = request.target_.substr(0, queryStart);
    if (path == "/healthz") {
        reply.send(200, "text/plain", "ok\n");
        return true;
    }
    if (path == "/readyz") {
        const bool ready = hooks_.isReady_();
        reply.send(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
        return true;
    }
    if (path != "/state" && path != "/metrics" && path != "/drain") {
        return false;
    }
    if (!authenticator_.isOperator(request)) {
        const bool hasKey = !Authenticator::bearerKey(request).empty();
        sendFailure(reply, makeFailure(hasKey ? FailureType::Forbidden : FailureType::Unauthenticated, true));
    } else if (path == "/state" && request.method_ == "GET") {
        state(queryStart == std::string::npos ? "" : request.target_.substr(queryStart + 1), reply);
    } else if (path == "/metrics" && request.method_ == "GET") {
        hooks_.updateGauges_();
        reply.send(200, "text/plain; version=0.0.4", metrics_.text());
    } else if (path == "/drain" && request.method_ == "POST") {
        reply.send(202, "application/json", "{\"draining\":true}");
        hooks_.drain_();
    } else {
        sendFailure(reply, makeFailure(FailureType::NotFound, true));
    }
    return true;
}

void OperatorApi::state(const std::string &query, HttpReply &reply) const
{
    const std::string name = "program=";
    const std::string section = "section=";
    if (query.compare(0, section.size(), section) == 0) {
        const nlohmann::json state = hooks_.state_();
        const auto found = state.find(query.substr(section.size()));
        reply.send(200, "application/json", found == state.end() ? "null" : jsonText(*found));
        return;
    }
    if (query.compare(0, name.size(), name) != 0) {
        reply.send(200, "application/json", jsonText(hooks_.state_()));
        return;
    }
    const nlohmann::json explained = hooks_.explain_(ProgramId(query.substr(name.size())));
    if (explained.is_null()) {
        sendFailure(reply, makeFailure(FailureType::NotFound, true, "no such program"));
        return;
    }
    reply.send(200, "application/json", jsonText(explained));
}

} // namespace filbertgw
