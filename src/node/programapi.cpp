#include "node/programapi.h"

#include "config/configsection.h"
#include "membership/membershipsection.h"
#include "node/dispatcher.h"
#include "node/errortable.h"

#include <boost/leaf/error.hpp>

#include <memory>

namespace filbertgw {
namespace internal {
namespace {

constexpr std::size_t maxRequestIdBytes = 128; ///< Every record of the request carries the id.
constexpr Duration maxDeadline = std::chrono::hours(24 * 365);

// Budget of a program that is created without a budget or a template.
constexpr Spend defaultBudget{1'000'000, 1'000, 1'000'000'000};

Failure invalid(std::string detail)
{
    return makeFailure(FailureType::InvalidRequest, true, std::move(detail));
}

ApiResult failed(const Failure &failure)
{
    ApiResult result;
    result.failure_ = failure;
    return result;
}

/** \brief Reads members of a JSON body and keeps the first error. */
class BodyReader
{
public:
    explicit BodyReader(const nlohmann::json &body)
        : body_(body)
    {
        if (!body.is_object()) {
            fail("the body must be a JSON object");
        }
    }

    std::string text(const char *name, bool required)
    {
        if (!has(name)) {
            return required ? fail(std::string(name) + " is required") : "";
        }
        if (!body_[name].is_string()) {
            return fail(std::string(name) + " must be a string");
        }
        return body_[name].get<std::string>();
    }

    std::int64_t number(const char *name, std::int64_t defaultValue, std::int64_t maximum)
    {
        if (!has(name)) {
            return defaultValue;
        }
        if (!body_[name].is_number_integer() || body_[name].get<std::int64_t>() < 0
            || body_[name].get<std::int64_t>() > maximum) {
            fail(std::string(name) + " must be an integer from 0 to " + std::to_string(maximum));
            return defaultValue;
        }
        return body_[name].get<std::int64_t>();
    }

    nlohmann::json object(const char *name)
    {
        if (has(name) && !body_[name].is_object()) {
            fail(std::string(name) + " must be an object");
        }
        return has(name) && body_[name].is_object() ? body_[name] : nlohmann::json::object();
    }

    bool has(const char *name) const
    {
        return body_.is_object() && body_.contains(name) && !body_[name].is_null();
    }

    std::string fail(const std::string &detail)
    {
        if (error_.empty()) {
            error_ = detail;
        }
        return {};
    }

    const std::string &error() const
    {
        return error_;
    }

private:
    const nlohmann::json &body_;
    std::string error_;
};

constexpr std::int64_t maxCount = 1'000'000'000;
constexpr std::int64_t maxMoneyMicros = 1'000'000'000'000;

Spend readBudget(BodyReader &body, const Spend &defaults)
{
    const nlohmann::json object = body.object("budget");
    BodyReader reader(object);
    Spend budget;
    budget.tokens_ = reader.number("tokens", defaults.tokens_, maxCount);
    budget.calls_ = reader.number("calls", defaults.calls_, maxCount);
    budget.moneyMicros_ = reader.number("money_micros", defaults.moneyMicros_, maxMoneyMicros);
    if (!reader.error().empty()) {
        body.fail("budget: " + reader.error());
    }
    return budget;
}

/** \brief Applies the configuration of a call's target: default length, price, idempotence. */
void applyConfig(CallRequest &call, const ConfigSection &config, BodyReader &body)
{
    if (call.kind_ == CallKind::Model || call.kind_ == CallKind::SubAgent) {
        const auto model = config.models_.find(ModelId(call.target_));
        if (model == config.models_.end()) {
            body.fail("unknown model");
            return;
        }
        if (call.maxTokens_ == 0) {
            call.maxTokens_ = model->second.defaultMaxTokens_;
        }
        // The price of the rest of the prompt is added by the program controller, which reserves for the whole prompt.
        call.priceMicros_ = model->second.priceMicrosPerToken_ * (call.maxTokens_ + estimateTokens(call.input_));
        return;
    }
    const auto operation = config.operations_.find(call.target_);
    if (operation == config.operations_.end()) {
        body.fail("unknown tool or service");
        return;
    }
    call.idempotent_ = operation->second.idempotent_;
    call.priceMicros_ = operation->second.priceMicros_;
}

} // namespace
} // namespace internal

ApiResult apiResultOf(const CallAnswer &answer)
{
    ApiResult result;
    result.failure_ = answer.failure_;
    if (result.failure_ && result.failure_->type_ == FailureType::Forbidden) {
        result.failure_ = makeFailure(FailureType::NotFound, true, "no such program");
    }
    if (!answer.failure_) {
        result.body_ = {{"program", answer.program_.value()},
                        {"request_id", answer.requestId_.value()},
                        {"body", answer.body_},
                        {"usage",
                         {{"tokens", answer.usage_.tokens_},
                          {"calls", answer.usage_.calls_},
                          {"money_micros", answer.usage_.moneyMicros_}}}};
    }
    return result;
}

Result<CreateRequest> parseCreate(const ApiRequest &request, const Blackboard &blackboard, Time now)
{
    internal::BodyReader body(request.body_);
    CreateRequest create;
    create.account_ = request.account_;
    create.requestId_ = request.requestId_;
    create.parent_ = request.program_;
    TemplateConfig defaults;
    defaults.budget_ = internal::defaultBudget;
    const std::string name = body.text("template", false);
    if (!name.empty()) {
        const ConfigSection &config = blackboard.read<ConfigSection>();
        const auto found = config.templates_.find(name);
        if (found == config.templates_.end()) {
            body.fail("unknown template");
        } else {
            defaults = found->second;
        }
    }
    create.budget_ = internal::readBudget(body, defaults.budget_);
    const std::int64_t defaultDeadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(defaults.deadline_).count();
    const std::int64_t maxDeadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(internal::maxDeadline).count();
    const std::int64_t deadlineMs = body.number("deadline_ms", defaultDeadlineMs, maxDeadlineMs);
    create.deadline_ = deadlineMs == 0 ? Time(0) : now + std::chrono::milliseconds(deadlineMs);
    create.maxTurns_ = std::uint32_t(body.number("max_turns", defaults.maxTurns_, 100'000));
    if (!body.error().empty()) {
        return boost::leaf::new_error(internal::invalid(body.error()));
    }
    return create;
}

Result<CallRequest> parseCall(const ApiRequest &request, const Blackboard &blackboard, Time now)
{
    internal::BodyReader body(request.body_);
    CallRequest call;
    call.requestId_ = request.requestId_;
    call.program_ = request.program_;
    call.account_ = request.account_;
    if (call.requestId_.isEmpty() || call.requestId_.value().size() > internal::maxRequestIdBytes) {
        body.fail("request_id must have 1 to 128 bytes");
    }
    const std::optional<CallKind> kind = valueOf<CallKind>(body.text("kind", true));
    if (!kind) {
        body.fail("kind must be model, tool, service or subagent");
    }
    call.kind_ = kind.value_or(CallKind::Model);
    call.target_ = body.text("target", true);
    if (body.has("input") && !request.body_["input"].is_string()) {
        call.input_ = jsonText(request.body_["input"]);
    } else {
        call.input_ = body.text("input", true);
    }
    call.maxTokens_ = body.number("max_tokens", 0, internal::maxCount);
    const std::int64_t timeoutMs = body.number("timeout_ms", 0, 24 * 3'600'000);
    call.deadline_ = timeoutMs == 0 ? Time(0) : now + std::chrono::milliseconds(timeoutMs);
    if (body.error().empty()) {
        internal::applyConfig(call, blackboard.read<ConfigSection>(), body);
    }
    if (!body.error().empty()) {
        return boost::leaf::new_error(internal::invalid(body.error()));
    }
    return call;
}

ProgramApi::ProgramApi(const NodeHooks &hooks,
                       const Blackboard &blackboard,
                       ProgramController &programs,
                       Scheduler &scheduler,
                       TextStreams &streams,
                       Metrics &metrics)
    : hooks_(hooks)
    , blackboard_(blackboard)
    , programs_(programs)
    , scheduler_(scheduler)
    , streams_(streams)
    , metrics_(metrics)
{
}

ApiCancel ProgramApi::run(const ApiRequest &request, const ApiSink &sink)
{
    const AccountId owner = programs_.accountOf(request.program_);
    // A call of an unknown program is passed on: the program may be idle and is then restored from the journal.
    const bool mayBeIdle = owner.isEmpty() && request.operation_ == ApiOperation::Call;
    if (!request.program_.isEmpty() && owner != request.account_ && !mayBeIdle) {
        // The same error as for an unknown program, so that it doesn't reveal which programs other accounts have.
        sink.done_(internal::failed(makeFailure(FailureType::NotFound, true, "no such program")));
        return [] {};
    }
    switch (request.operation_) {
    case ApiOperation::Create:
        create(request, sink);
        break;
    case ApiOperation::Call:
        return call(request, sink);
    case ApiOperation::CallAnswer:
        callAnswer(request, sink);
        break;
    case ApiOperation::Status:
        status(request, sink);
        break;
    case ApiOperation::History:
        history(request, sink);
        break;
    case ApiOperation::End:
        end(request, sink);
        break;
    }
    return [] {};
}

void ProgramApi::forget(const ProgramId &program)
{
    admitted_.erase(program);
}

void ProgramApi::create(const ApiRequest &request, const ApiSink &sink)
{
    CreateRequest parsed;
    const std::optional<Failure> invalid = captureFailure([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(parsed, parseCreate(request, blackboard_, hooks_.now_()));
        return {};
    });
    if (invalid) {
        sink.done_(internal::failed(*invalid));
        return;
    }
    programs_.create(parsed, [this, sink](const Result<ProgramId> &created) {
        if (!created) {
            sink.done_(internal::failed(filbertgw::failureOf(created)));
            return;
        }
        metrics_.count("programs_created_total");
        ApiResult result;
        result.body_ = {{"program", created.value().value()},
                        {"owner", blackboard_.read<MembershipSection>().self_.value()}};
        sink.done_(result);
    });
}

// Admission is decided at a program's first model call and not at its creation, because only then does the program
// need cache at an engine.
std::optional<Failure> ProgramApi::admit(const CallRequest &call)
{
    if (call.kind_ != CallKind::Model || admitted_.count(call.program_) != 0) {
        return std::nullopt;
    }
    const bool isKnown = !programs_.accountOf(call.program_).isEmpty();
    if (isKnown && programs_.history(call.program_).empty()) {
        const std::optional<Failure> refused =
            scheduler_.admitProgram(call.program_, call.account_, estimateTokens(call.input_), call.deadline_);
        if (refused) {
            return refused;
        }
    }
    admitted_.insert(call.program_);
    return std::nullopt;
}

ApiCancel ProgramApi::call(const ApiRequest &request, const ApiSink &sink)
{
    CallRequest call;
    const std::optional<Failure> invalid = captureFailure([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(call, parseCall(request, blackboard_, hooks_.now_()));
        return {};
    });
    if (invalid) {
        // The target may have been removed from the configuration since the call was answered.
        const std::optional<CallAnswer> recorded = programs_.recordedAnswer(request.program_, request.requestId_);
        sink.done_(recorded ? apiResultOf(*recorded) : internal::failed(*invalid));
        return [] {};
    }
    const bool isRepeated = programs_.recordedAnswer(call.program_, call.requestId_).has_value();
    const std::optional<Failure> refused = isRepeated ? std::nullopt : admit(call);
    if (refused) {
        sink.done_(internal::failed(*refused));
        return [] {};
    }
    const std::shared_ptr<std::uint64_t> listener = std::make_shared<std::uint64_t>(0);
    if (sink.text_) {
        *listener = streams_.listen(call.program_, call.requestId_, {sink.text_, sink.rerun_});
    }
    programs_.submit(call, [this, listener, sink](const CallAnswer &answer) {
        streams_.stopListening(*listener);
        sink.done_(apiResultOf(answer));
    });
    return [this, listener, call] {
        streams_.stopListening(*listener);
        programs_.onCallerGone(call.program_, call.requestId_);
    };
}

void ProgramApi::callAnswer(const ApiRequest &request, const ApiSink &sink)
{
    const std::optional<CallAnswer> answer = programs_.recordedAnswer(request.program_, request.requestId_);
    if (answer) {
        sink.done_(apiResultOf(*answer));
        return;
    }
    sink.done_(internal::failed(
        makeFailure(FailureType::NotFound, false, "no answer is recorded for this request", std::chrono::seconds(1))));
}

void ProgramApi::status(const ApiRequest &request, const ApiSink &sink)
{
    ApiResult result;
    result.body_ = programs_.explain(request.program_);
    sink.done_(result);
}

void ProgramApi::history(const ApiRequest &request, const ApiSink &sink)
{
    ApiResult result;
    result.body_ = {{"program", request.program_.value()}, {"history", programs_.history(request.program_)}};
    sink.done_(result);
}

void ProgramApi::end(const ApiRequest &request, const ApiSink &sink)
{
    programs_.end(request.program_, request.account_, [sink, request](const CallAnswer &answer) {
        ApiResult result;
        result.failure_ = answer.failure_;
        result.body_ = {{"program", request.program_.value()}, {"ended", true}};
        sink.done_(result);
    });
}

} // namespace filbertgw
