#include "tool.h"

#include <algorithm>

namespace filbertgw::standin {

namespace {

/** Beyond this many keys a run has other problems; the total goes on counting. */
constexpr std::size_t maximumKeys = 1'000'000;
const std::string callPath = "/call/";

} // namespace

Tool::Tool(IoLoop &loop, ToolOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed_)
    , server_(listenOrExit(
          loop, options_.address_, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
              handle(request, reply);
          }))
{
}

const HttpServer &Tool::server() const
{
    return *server_;
}

void Tool::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const Target target = parseTarget(request.target_);
    if (request.method_ == "POST" && target.path_.compare(0, callPath.size(), callPath) == 0) {
        execute(target.path_.substr(callPath.size()), request, reply);
    } else if (request.method_ == "POST" && target.path_ == "/control") {
        control(request, reply);
    } else if (request.method_ == "GET" && target.path_ == "/executions") {
        sendExecutions(reply);
    } else {
        sendError(reply, 404, "not_found", "no such resource");
    }
}

void Tool::execute(const std::string &name, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (options_.refusal_.takesPlace(random_)) {
        sendError(reply, 503, "overloaded", "refused by a fault");
        return;
    }
    const std::string key = header(request, "idempotency-key");
    ++total_;
    ++byName_[name];
    if (executions_.size() < maximumKeys || executions_.count(key) != 0) {
        ++executions_[key];
    }
    if (options_.hang_.takesPlace(random_)) {
        // Kept until the caller goes, so that the connection stays open.
        reply->onClosed([reply] {});
        return;
    }
    const bool lost = options_.loss_.takesPlace(random_);
    nlohmann::json answer{{"name", name}, {"key", key}, {"execution", total_}};
    answer["input"] = nlohmann::json::parse(request.body_, nullptr, false);
    if (answer["input"].is_discarded()) {
        answer["input"] = request.body_;
    }
    const auto end = [reply, lost, answer = std::move(answer)] {
        if (lost) {
            reply->abort();
        } else {
            sendJson(reply, 200, {{"result", answer}});
        }
    };
    if (options_.delay_ == Duration{0}) {
        end();
    } else {
        loop_.after(options_.delay_, end);
    }
}

void Tool::control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        sendError(reply, 400, "invalid_request", "not a JSON object");
        return;
    }
    updateDuration(options_.delay_, body, "delay_ms");
    options_.hang_.update(body, "hang");
    options_.loss_.update(body, "loss");
    options_.refusal_.update(body, "refusal");
    sendJson(reply, 200, nlohmann::json::object());
}

void Tool::sendExecutions(const std::shared_ptr<HttpReply> &reply) const
{
    sendJson(reply, 200, {{"executions", executions_}, {"by_name", byName_}, {"total", total_}});
}

int runTool(int argc, char **argv)
{
    ToolOptions options;
    options.address_ = parseServerOptions(
        argc,
        argv,
        "tool",
        {durationOption("delay-ms", "time from the action to the answer", options.delay_),
         shareOption("hang", "share of calls that act and never answer", options.hang_.share_),
         shareOption("loss", "share of calls that act and lose the answer", options.loss_.share_),
         shareOption("refusal", "share of calls refused with 503 without acting", options.refusal_.share_),
         numberOption("seed", "seed of the faults", options.seed_)});
    return run<Tool>(options);
}

} // namespace filbertgw::standin
