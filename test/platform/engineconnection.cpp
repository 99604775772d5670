#include "engineconnection.h"

#include "platform/wirenames.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace filbertgw::testing {

namespace wire = platform::wire;

namespace {

constexpr Duration betweenPieces{5'000};

std::string textOf(const std::map<std::string, std::string> &headers, const char *name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return char(std::tolower(c)); });
    return text;
}

} // namespace

EngineConnection::EngineConnection(EngineProcess &engine, boost::asio::ip::tcp::socket socket)
    : engine_(&engine)
    , loop_(engine.loop_)
    , socket_(std::move(socket))
{
}

EngineConnection::~EngineConnection() = default;

void EngineConnection::read()
{
    parser_.emplace();
    parser_->body_limit(8 * 1024 * 1024);
    const auto onRead = [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (self->engine_ == nullptr) {
            return;
        }
        if (error) {
            self->close(ConnectionEnd::Fin);
            return;
        }
        self->onRequest();
    };
    boost::beast::http::async_read(socket_, buffer_, *parser_, onRead);
}

void EngineConnection::close(ConnectionEnd end)
{
    if (engine_ == nullptr) {
        return;
    }
    leaveSlot();
    EngineProcess *engine = engine_;
    engine_ = nullptr;
    boost::system::error_code ignored;
    if (end == ConnectionEnd::Reset) {
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    engine->connections_.erase(shared_from_this());
}

void EngineConnection::leaveSlot()
{
    if (holdsSlot_) {
        holdsSlot_ = false;
        --engine_->active_;
    }
}

void EngineConnection::after(Duration delay, std::function<void()> task)
{
    loop_.after(delay, [self = shared_from_this(), task = std::move(task)] {
        if (self->engine_ != nullptr) {
            task();
        }
    });
}

void EngineConnection::write(std::string bytes, std::function<void()> then)
{
    const std::shared_ptr<std::string> kept = std::make_shared<std::string>(std::move(bytes));
    const auto onWritten =
        [self = shared_from_this(), kept, then = std::move(then)](const boost::system::error_code &error, std::size_t) {
            if (self->engine_ == nullptr) {
                return;
            }
            if (error) {
                self->close(ConnectionEnd::Fin);
                return;
            }
            then();
        };
    boost::asio::async_write(socket_, boost::asio::buffer(*kept), onWritten);
}

EngineRun EngineConnection::describeRequest() const
{
    EngineRun run;
    const Parser::value_type &request = parser_->get();
    run.method_ = std::string(request.method_string());
    run.target_ = std::string(request.target());
    run.body_ = request.body();
    for (const Parser::value_type::value_type &field : request) {
        run.headers_[lowerCase(std::string(field.name_string()))] = std::string(field.value());
    }
    run.attempt_ = textOf(run.headers_, wire::attemptId);
    run.lastEventId_ = std::strtoull(textOf(run.headers_, wire::lastEventId).c_str(), nullptr, 10);
    const RequestedAnswer requested = requestedAnswer(run.target_, run.body_);
    run.token_ = requested.token_;
    run.events_ = requested.events_;
    run.engine_ = engine_->identity_.id_;
    run.version_ = engine_->identity_.version_;
    run.at_ = loop_.now();
    return run;
}

void EngineConnection::onRequest()
{
    if (copy_ == AnswerCopy::Late || copy_ == AnswerCopy::Pieces) {
        // The copy stands where this request's answer is expected.
        ++engine_->record_.copies_;
        const bool isWhole = copy_ == AnswerCopy::Late;
        copy_ = AnswerCopy::None;
        const std::size_t first = isWhole ? earlier_.size() : earlier_.size() / 2;
        write(earlier_.substr(0, first), [this, first] {
            after(betweenPieces, [this, first] { write(earlier_.substr(first), [this] { onRequest(); }); });
        });
        return;
    }
    EngineRun run = describeRequest();
    const std::map<std::string, std::string> own{{"X-Filbertgw-Instance-Id", engine_->identity_.id_}};
    if (run.target_ == "/-/report") {
        sendWhole(wholeAnswer(200, {{"Content-Type", "application/json"}}, engine_->report()));
        return;
    }
    if (run.target_ == "/-/kv-list") {
        const std::string list = "{\"epoch\":1,\"next\":0,\"held\":[]}";
        sendWhole(wholeAnswer(200, {{"Content-Type", "application/json"}}, list));
        return;
    }
    if (run.target_ == "/health") {
        sendWhole(wholeAnswer(200, own, ""));
        return;
    }
    std::map<std::string, std::string> headers = own;
    headers[wire::notExecuted] = "1";
    if (run.attempt_.empty()) {
        sendWhole(wholeAnswer(400, headers, ""));
        return;
    }
    headers[wire::attemptId] = run.attempt_;
    const std::string expected = textOf(run.headers_, wire::expectInstance);
    if (!expected.empty() && expected != engine_->identity_.id_) {
        ++engine_->record_.misdirected_;
        sendWhole(wholeAnswer(421, headers, ""));
        return;
    }
    if (engine_->active_ >= engine_->identity_.slots_ || engine_->hooks_.isFull_()) {
        ++engine_->record_.refusals_;
        // A copy may follow a refusal as it may follow any answer.
        copy_ = engine_->hooks_.plan_(run).copy_;
        sendWhole(wholeAnswer(503, headers, "full\n"));
        return;
    }
    runRequest(std::move(run));
}

void EngineConnection::runRequest(EngineRun run)
{
    run.number_ = engine_->record_.runs_.size();
    run.stamp_ = "stamp." + std::to_string(run.number_) + '.' + run.engine_;
    run.plan_ = engine_->hooks_.plan_(run);
    AnswerSubject subject;
    subject.engine_ = run.engine_;
    subject.version_ = run.version_;
    subject.attempt_ = run.attempt_;
    subject.token_ = run.token_;
    subject.stamp_ = run.stamp_;
    subject.run_ = run.number_;
    subject.lastEventId_ = run.lastEventId_;
    subject.events_ = run.events_;
    subject.eventGap_ = engine_->identity_.eventGap_;
    script_ = buildAnswer(run.plan_, subject);
    run.status_ = script_.status_;
    run.answer_ = script_.body_;
    copy_ = run.plan_.copy_;
    engine_->record_.runs_.push_back(std::move(run));
    holdsSlot_ = true;
    ++engine_->active_;
    sent_.clear();
    play(0);
}

void EngineConnection::play(std::size_t next)
{
    if (next == script_.pieces_.size()) {
        finishAnswer();
        return;
    }
    after(script_.pieces_[next].delay_, [this, next] {
        sent_ += script_.pieces_[next].bytes_;
        write(script_.pieces_[next].bytes_, [this, next] { play(next + 1); });
    });
}

void EngineConnection::finishAnswer()
{
    leaveSlot();
    if (script_.end_ != ConnectionEnd::KeptOpen) {
        close(script_.end_);
        return;
    }
    earlier_ = sent_;
    if (copy_ != AnswerCopy::Early) {
        read();
        return;
    }
    copy_ = AnswerCopy::None;
    ++engine_->record_.copies_;
    write(earlier_, [this] { read(); });
}

void EngineConnection::sendWhole(std::string bytes)
{
    script_ = AnswerScript();
    sent_ = bytes;
    write(std::move(bytes), [this] { finishAnswer(); });
}

} // namespace filbertgw::testing
