#include "rulechecker.h"

#include "platform/wirenames.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace filbertgw::testing {

namespace wire = platform::wire;

const char *const mixedVersions = "ORDER of versions";

namespace {

std::string headerOf(const ClientTry &attempt, const char *name)
{
    const auto found = attempt.headers_.find(name);
    return found == attempt.headers_.end() ? std::string() : found->second;
}

const EngineRun *runWithStamp(const EngineRecord &record, const std::string &stamp)
{
    const auto found = std::find_if(
        record.runs_.begin(), record.runs_.end(), [&stamp](const EngineRun &run) { return run.stamp_ == stamp; });
    return found == record.runs_.end() ? nullptr : &*found;
}

/** \brief The parts of an event's data; \sa eventData(). */
struct EventOrigin
{
    std::string token_;
    std::string version_;
    std::string run_;
    std::string number_;
};

EventOrigin originOf(const std::string &data)
{
    EventOrigin origin;
    std::istringstream text(data);
    std::getline(text, origin.token_, '|');
    std::getline(text, origin.version_, '|');
    std::getline(text, origin.run_, '|');
    std::getline(text, origin.number_, '|');
    return origin;
}

bool isComplete(const ClientTry &attempt)
{
    return attempt.result_.outcome_ == HttpOutcome::Complete;
}

bool isPromise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421 || status == 402;
}

/** \brief Checks the events of one client request over all of its tries. */
class StreamCheck
{
public:
    StreamCheck(const ClientRequest &request, std::vector<Violation> &violations)
        : request_(request)
        , violations_(violations)
    {
    }

    void check(const ClientTry &attempt)
    {
        if (attempt.lastEventId_.empty()) {
            version_.clear();
            last_ = 0;
        }
        run_.clear();
        const ReceivedEvents received = readEvents(attempt.body_);
        if (!received.strange_.empty()) {
            add("MIXED", attempt, "holds text that is no event: " + received.strange_.substr(0, 80));
        }
        for (const ReceivedEvent &event : received.events_) {
            checkEvent(attempt, event);
        }
        if (!isComplete(attempt)) {
            return;
        }
        if (!received.rest_.empty()) {
            add("MIXED", attempt, "ends as complete after: " + received.rest_.substr(0, 80));
        }
        if (last_ != request_.task().events_) {
            add("ORDER", attempt, "ends as complete after event " + std::to_string(last_));
        }
    }

private:
    void checkEvent(const ClientTry &attempt, const ReceivedEvent &event)
    {
        const EventOrigin origin = originOf(event.data_);
        const std::uint64_t id = std::strtoull(event.id_.c_str(), nullptr, 10);
        if (id != last_ + 1) {
            add("ORDER", attempt, "event " + event.id_ + " follows event " + std::to_string(last_));
        }
        last_ = id;
        if (origin.token_ != request_.task().token_) {
            add("MIXED", attempt, "holds an event of " + origin.token_);
        }
        if (origin.number_ != event.id_) {
            add("ORDER", attempt, "event " + event.id_ + " holds the text of event " + origin.number_);
        }
        if (!version_.empty() && origin.version_ != version_) {
            add(mixedVersions, attempt, "holds events of versions " + version_ + " and " + origin.version_);
        }
        version_ = origin.version_;
        if (!request_.task().route_.isResumable_ && !run_.empty() && origin.run_ != run_) {
            add("ORDER", attempt, "holds events of runs " + run_ + " and " + origin.run_);
        }
        run_ = origin.run_;
    }
    void add(const std::string &rule, const ClientTry &attempt, const std::string &what)
    {
        violations_.push_back({rule, "the answer to " + attempt.attempt_ + ' ' + what, request_.task().token_});
    }

    const ClientRequest &request_;
    std::vector<Violation> &violations_;
    std::string version_;
    std::string run_;
    std::uint64_t last_ = 0;
};

/** \brief Checks the stamp, the echoed id and the body of an answer that is no stream. */
void checkAnswer(const ClientRequest &request,
                 const ClientTry &attempt,
                 const EngineRecord &record,
                 std::vector<Violation> &violations)
{
    const auto add = [&](const std::string &rule, const std::string &what) {
        violations.push_back({rule, "the answer to " + attempt.attempt_ + ' ' + what, request.task().token_});
    };
    const std::string stamp = headerOf(attempt, wire::responseStamp);
    const EngineRun *run = runWithStamp(record, stamp);
    const std::string echo = headerOf(attempt, wire::attemptId);
    if (!echo.empty() && echo != attempt.attempt_) {
        add("MIXED", "bears the id " + echo);
    }
    if (attempt.isSuccess() && run == nullptr) {
        add("MIXED", "is a success without an engine's stamp");
        return;
    }
    if (run == nullptr) {
        return;
    }
    if (run->attempt_ != attempt.attempt_) {
        add("MIXED", "bears the stamp of the answer to " + run->attempt_);
    }
    if (run->status_ != attempt.status_) {
        add("MIXED", "bears status " + std::to_string(attempt.status_) + ", not " + std::to_string(run->status_));
    }
    const bool isPlain = attempt.isSuccess() && !request.task().route_.isStreaming_;
    if (isPlain && isComplete(attempt) && attempt.body_ != run->answer_) {
        add("MIXED", "has another body than the engine's: " + attempt.body_.substr(0, 80));
    }
}

/** \brief A client's attempt by its id. */
struct KnownAttempt
{
    const ClientRequest *request_ = nullptr;
    const ClientTry *attempt_ = nullptr;
    std::uint64_t runs_ = 0;
};

} // namespace

std::vector<Violation> checkRequest(const ClientRequest &request, const EngineRecord &record)
{
    std::vector<Violation> violations;
    StreamCheck stream(request, violations);
    for (const std::shared_ptr<ClientTry> &attempt : request.tries()) {
        if (attempt->status_ == 0) {
            continue;
        }
        checkAnswer(request, *attempt, record, violations);
        if (attempt->isSuccess() && request.task().route_.isStreaming_) {
            stream.check(*attempt);
        }
    }
    return violations;
}

std::vector<Violation> checkRuns(const std::vector<std::shared_ptr<ClientRequest>> &requests,
                                 const EngineRecord &record)
{
    std::map<std::string, KnownAttempt> attempts;
    for (const std::shared_ptr<ClientRequest> &request : requests) {
        for (const std::shared_ptr<ClientTry> &attempt : request->tries()) {
            attempts[attempt->attempt_] = KnownAttempt{request.get(), attempt.get(), 0};
        }
    }
    std::vector<Violation> violations;
    for (const EngineRun &run : record.runs_) {
        const auto found = attempts.find(run.attempt_);
        if (found == attempts.end()) {
            violations.push_back({"UNASKED", run.engine_ + " ran " + run.attempt_ + ", which no client sent", {}});
            continue;
        }
        ++found->second.runs_;
        const ClientTask &task = found->second.request_->task();
        if (run.body_ != task.engineBody_) {
            violations.push_back({"UNASKED", run.engine_ + " got another body with " + run.attempt_, task.token_});
        }
    }
    // The rule allows three.
    constexpr std::size_t allowedBeyondAttempts = 3;
    std::vector<Violation> beyondAttempts;
    for (const std::pair<const std::string, KnownAttempt> &entry : attempts) {
        const KnownAttempt &known = entry.second;
        const ClientTask &task = known.request_->task();
        const bool mayRepeat = task.route_.isIdempotent_ || task.route_.isResumable_;
        const std::string subject = entry.first + " ran " + std::to_string(known.runs_) + " times";
        if (!mayRepeat && known.runs_ > 1) {
            violations.push_back({"TWICE", subject, task.token_});
        }
        const bool isRefused = isComplete(*known.attempt_) && isPromise(known.attempt_->status_);
        if (!mayRepeat && known.runs_ > 0 && isRefused) {
            violations.push_back(
                {"REFUSED", subject + " and was answered " + std::to_string(known.attempt_->status_), task.token_});
        }
        if (known.runs_ > task.route_.maxAttempts_) {
            beyondAttempts.push_back({"BUDGET", subject, task.token_});
        }
    }
    if (beyondAttempts.size() > allowedBeyondAttempts) {
        violations.insert(violations.end(), beyondAttempts.begin(), beyondAttempts.end());
    }
    return violations;
}

StreamShares countStreams(const std::vector<std::shared_ptr<ClientRequest>> &requests)
{
    StreamShares shares;
    for (const std::shared_ptr<ClientRequest> &request : requests) {
        if (!request->task().route_.isResumable_) {
            continue;
        }
        bool hasBegun = false;
        bool isTakenUp = false;
        bool hasGoneOn = false;
        for (const std::shared_ptr<ClientTry> &attempt : request->tries()) {
            const bool isServed =
                attempt->isSuccess() && (isComplete(*attempt) || !readEvents(attempt->body_).events_.empty());
            if (attempt->lastEventId_.empty()) {
                hasBegun = hasBegun || isServed;
                continue;
            }
            isTakenUp = true;
            hasGoneOn = hasGoneOn || isServed;
            ++shares.takeUpTries_;
            shares.takeUpTriesServed_ += isServed ? 1 : 0;
        }
        ++shares.sent_;
        shares.begun_ += hasBegun ? 1 : 0;
        shares.takenUp_ += isTakenUp ? 1 : 0;
        shares.wentOn_ += hasGoneOn ? 1 : 0;
    }
    return shares;
}

std::vector<Violation> checkShares(const StreamShares &shares)
{
    constexpr std::size_t fewestStreams = 12;
    const bool isLost =
        shares.takenUp_ >= fewestStreams && shares.wentOn_ * shares.sent_ * 2 < shares.begun_ * shares.takenUp_;
    if (!isLost) {
        return {};
    }
    return {{"LOST",
             std::to_string(shares.wentOn_) + " of " + std::to_string(shares.takenUp_)
                 + " streams that were taken up went on",
             {}}};
}

std::string traceOf(const ClientRequest &request, const EngineRecord &record, Time began)
{
    std::vector<std::pair<Time, std::string>> lines;
    for (const std::shared_ptr<ClientTry> &attempt : request.tries()) {
        lines.emplace_back(attempt->sentAt_,
                           "client sends " + attempt->attempt_ + " to " + attempt->node_ + " last-event-id='"
                               + attempt->lastEventId_ + "' resumes='" + attempt->resumes_ + "'");
        std::string ids;
        for (const ReceivedEvent &event : readEvents(attempt->body_).events_) {
            const EventOrigin origin = originOf(event.data_);
            ids += ' ' + event.id_ + '/' + origin.version_ + "/run" + origin.run_;
        }
        lines.emplace_back(attempt->endedAt_,
                           "client has " + attempt->attempt_ + " status=" + std::to_string(attempt->status_)
                               + " outcome=" + std::to_string(int(attempt->result_.outcome_))
                               + " bytes=" + std::to_string(attempt->body_.size()) + " stamp='"
                               + headerOf(*attempt, wire::responseStamp) + "' events:" + ids);
    }
    for (const EngineRun &run : record.runs_) {
        if (run.token_ != request.task().token_) {
            continue;
        }
        lines.emplace_back(run.at_,
                           run.engine_ + " (" + run.version_ + ") runs " + run.attempt_ + " as run "
                               + std::to_string(run.number_) + " last-event-id=" + std::to_string(run.lastEventId_)
                               + " answer=" + std::string(nameOf(run.plan_.form_)) + '/'
                               + std::string(nameOf(run.plan_.framing_)) + (run.plan_.isStamped_ ? "" : "/unstamped"));
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::ostringstream text;
    for (const std::pair<Time, std::string> &line : lines) {
        text << std::fixed << std::setprecision(3) << std::setw(9) << toSeconds(line.first - began) << "  "
             << line.second << '\n';
    }
    return text.str();
}

} // namespace filbertgw::testing
