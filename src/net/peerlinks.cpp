#include "net/peerlinks.h"

#include "net/peerlinksprivate.h"

#include <algorithm>

namespace filbertgw {

void PeerLinks::Private::dispatch(const internal::PeerLinkPointer &link, PeerFrame frame)
{
    if (frame.type_ == PeerFrameType::Request) {
        serve(link, frame);
        return;
    }
    if (frame.type_ == PeerFrameType::Cancel) {
        cancelled(link, frame.id_);
        return;
    }
    const auto call = link->calls_.find(frame.id_);
    if (call == link->calls_.end()) {
        return; // Cancelled in the meantime.
    }
    if (frame.type_ == PeerFrameType::Part) {
        // Copied, because the hook may cancel the request and so destroy itself.
        const Part part = call->second.part_;
        if (part) {
            part(frame.body_);
        }
    } else if (frame.type_ == PeerFrameType::Finish || frame.type_ == PeerFrameType::Broken) {
        const internal::PeerCall ended = std::move(call->second);
        link->calls_.erase(call);
        const bool isFinished = frame.type_ == PeerFrameType::Finish;
        endCall(frame.id_, ended, isFinished ? PeerOutcome::Finished : PeerOutcome::Broken, frame.body_);
    }
}

void PeerLinks::Private::cancelled(const internal::PeerLinkPointer &link, std::uint64_t id)
{
    const std::map<std::uint64_t, std::weak_ptr<internal::PeerLinkReply>>::iterator found = link->incoming_.find(id);
    if (found == link->incoming_.end()) {
        return;
    }
    const std::shared_ptr<internal::PeerLinkReply> reply = found->second.lock();
    link->incoming_.erase(found);
    if (reply) {
        reply->closedByPeer();
    }
}

void PeerLinks::Private::serve(const internal::PeerLinkPointer &link, const PeerFrame &frame)
{
    if (link->incoming_.count(frame.id_) != 0 || link->incoming_.size() >= settings_.requestsPerLink_) {
        close(link, "request id in use or too many requests");
        return;
    }
    const std::shared_ptr<internal::PeerLinkReply> reply =
        std::make_shared<internal::PeerLinkReply>(weak_from_this(), link, frame.id_);
    link->incoming_[frame.id_] = reply;
    handler_(link->peer_, frame.name_, frame.body_, reply);
}

void PeerLinks::Private::endCall(std::uint64_t id,
                                 const internal::PeerCall &call,
                                 PeerOutcome outcome,
                                 const nlohmann::json &body)
{
    linkOfCall_.erase(id);
    if (!call.done_) {
        return;
    }
    loop_.post([self = shared_from_this(), done = call.done_, outcome, body] {
        if (!self->closed_) {
            done(outcome, body);
        }
    });
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::listen(IoLoop &loop, PeerSettings settings, Handler handler)
{
    if (settings.keys_.empty()) {
        return boost::leaf::new_error(
            Failure{FailureType::InvalidRequest, true, "peer links need at least one key", Duration{0}});
    }
    const std::string address = settings.address_;
    const std::shared_ptr<Private> d = std::make_shared<Private>(loop, std::move(settings), std::move(handler));
    const boost::system::error_code error = d->listen();
    if (error) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot listen on " + address + ": " + error.message(), Duration{0}});
    }
    d->sweepTimer_ = loop.every(internal::linkSweepPeriod, [weak = std::weak_ptr<Private>(d)] {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->sweep();
        }
    });
    return std::unique_ptr<PeerLinks>(new PeerLinks(d));
}

PeerLinks::PeerLinks(std::shared_ptr<Private> d)
    : d_(std::move(d))
{
}

PeerLinks::~PeerLinks()
{
    d_->shutDown();
}

std::uint16_t PeerLinks::port() const
{
    return d_->port_;
}

std::size_t PeerLinks::openLinks() const
{
    return static_cast<std::size_t>(
        std::count_if(d_->links_.begin(), d_->links_.end(), [](const internal::PeerLinkPointer &link) {
            return link->state_ == internal::PeerLink::State::Open;
        }));
}

std::uint64_t PeerLinks::request(
    const std::string &address, const std::string &type, const nlohmann::json &body, Part part, Done done)
{
    const std::uint64_t id = d_->nextCall_++;
    const internal::PeerCall call{std::move(part), std::move(done)};
    const std::string frame = encodePeerFrame(PeerFrameType::Request, id, type, body);
    const internal::PeerLinkPointer link =
        type.empty() || frame.size() > d_->settings_.frameBytes_ ? nullptr : d_->linkTo(address);
    if (!link || link->waitingBytes_ + frame.size() > d_->settings_.queueBytes_) {
        d_->endCall(id, call, PeerOutcome::NotSent, nullptr);
        return id;
    }
    link->calls_[id] = call;
    d_->linkOfCall_[id] = link;
    if (link->state_ == internal::PeerLink::State::Open) {
        d_->send(link, frame);
    } else {
        link->waitingBytes_ += frame.size();
        link->waiting_.emplace_back(id, frame);
    }
    return id;
}

void PeerLinks::cancel(std::uint64_t request)
{
    const auto found = d_->linkOfCall_.find(request);
    if (found == d_->linkOfCall_.end()) {
        return;
    }
    const internal::PeerLinkPointer link = found->second.lock();
    d_->linkOfCall_.erase(found);
    if (!link || link->calls_.erase(request) == 0) {
        return;
    }
    if (link->state_ == internal::PeerLink::State::Open) {
        d_->send(link, encodePeerFrame(PeerFrameType::Cancel, request, {}, nullptr));
    }
}

void PeerLinks::setKeys(const std::vector<std::string> &keys)
{
    d_->settings_.keys_ = keys;
}

} // namespace filbertgw
