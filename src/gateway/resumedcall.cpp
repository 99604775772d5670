#include "gateway/gatewaycall.h"

#include "core/numbers.h"

#include <algorithm>
#include <utility>

// The part of GatewayCall that resumes a stream for a client, and prepares that other nodes can do so.
namespace filbertgw::internal {

bool GatewayCall::resumesStream() const
{
    return route_->kind_ == RouteKind::Streaming && route_->resumable_ && !request_->lastEventId_.empty();
}

/** A client may wait for as long at another node again. */
Duration GatewayCall::streamLifetime() const
{
    const Duration timeout = route_->timeout_ > Duration{0} ? route_->timeout_ : gateway_->settings_.defaultTimeout_;
    return std::max(gateway_->settings_.minStreamLifetime_, timeout * 2);
}

void GatewayCall::readRegistry()
{
    gateway_->refreshRegistry([self = shared_from_this()](bool isCurrent) {
        if (self->step_ == Step::Preparing) {
            self->findOrigin(isCurrent);
        }
    });
}

void GatewayCall::findOrigin(bool isRegistryCurrent)
{
    StreamQuery query;
    query.isRegistryCurrent_ = isRegistryCurrent;
    query.attempt_ = request_->scopedResumes();
    query.lifetime_ = streamLifetime();
    for (const RouteTarget &target : route_->targets_) {
        query.services_.push_back(target.service_);
    }
    gateway_->origins_.find(query, [self = shared_from_this()](const FoundOrigin &found) {
        if (self->step_ == Step::Preparing) {
            self->originFound(found);
        }
    });
}

void GatewayCall::originFound(const FoundOrigin &found)
{
    gateway_->hooks_.logEvent_("stream_taken_up",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"resumes", request_->resumes_},
                                {"source", nameOf(found.source_)},
                                {"service", found.origin_.service_},
                                {"version", found.origin_.version_},
                                {"ms", toMilliseconds(gateway_->hooks_.now_() - arrivedAt_)}});
    if (found.source_ == OriginSource::None) {
        refuse(RefusalReason::OriginUnknown);
        return;
    }
    const auto isOrigin = [&found](const RouteTarget &target) { return target.service_ == found.origin_.service_; };
    if (std::none_of(route_->targets_.begin(), route_->targets_.end(), isOrigin)) {
        refuse(RefusalReason::NoEndpointOfVersion);
        return;
    }
    origin_ = found.origin_;
    findOutput();
}

/** Looks up the events that the client has, which this node does not relay and the retained turn contains. */
void GatewayCall::findOutput()
{
    if (!retainsTurn() || request_->lastEventId_.empty()) {
        prepare();
        return;
    }
    const auto found = [self = shared_from_this()](const std::optional<StreamOutput> &output) {
        if (self->step_ == Step::Preparing) {
            self->outputFound(output);
        }
    };
    gateway_->outputs_.find(request_->scopedResumes(), request_->lastEventId_, found);
}

void GatewayCall::outputFound(const std::optional<StreamOutput> &output)
{
    gateway_->hooks_.logEvent_("stream_output_read",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"resumes", request_->resumes_},
                                {"after_event", request_->lastEventId_},
                                {"found", output.has_value()},
                                {"events", output ? output->events_.size() : 0},
                                {"ms", toMilliseconds(gateway_->hooks_.now_() - arrivedAt_)}});
    if (!output) {
        refuse(RefusalReason::OutputUnknown);
        return;
    }
    output_ = output->text();
    StreamOutput continued = *output;
    ++continued.resumptions_;
    gateway_->outputs_.begin(streamId(), std::move(continued), streamLifetime());
    prepare();
}

std::string GatewayCall::streamId() const
{
    return request_->lastEventId_.empty() ? request_->scopedAttempt() : request_->scopedResumes();
}

bool GatewayCall::sharesOutput() const
{
    return retainsTurn() && route_->resumable_;
}

void GatewayCall::shareOutput(std::vector<OutputEvent> events)
{
    if (events.empty()) {
        return;
    }
    if (relayedEvents_ == events.size() && request_->lastEventId_.empty()) {
        gateway_->outputs_.begin(streamId(), StreamOutput(), streamLifetime());
    }
    gateway_->outputs_.add(streamId(), std::move(events));
}

bool GatewayCall::isEligible(const Endpoint &endpoint) const
{
    return !origin_ || (endpoint.version_ == origin_->version_ && !gateway_->directory_.isInDoubt(endpoint));
}

void GatewayCall::doubtEndpoint(const std::string &endpoint)
{
    const Endpoint *known = gateway_->directory_.find(endpoint);
    if (known != nullptr && known->incarnation() == incarnation_) {
        gateway_->directory_.doubt(*known);
    }
}

void GatewayCall::resumeElsewhere()
{
    step_ = Step::Placing;
    const auto placeRest = [self = shared_from_this()](bool) {
        if (self->step_ != Step::Placing) {
            return;
        }
        if (self->gateway_->origins_.isCertain(self->request_->scopedAttempt())) {
            self->place();
        } else {
            self->refuse(RefusalReason::OriginUnknown);
        }
    };
    checkLastEndpoint([gateway = gateway_, placeRest] { gateway->refreshRegistry(placeRest); });
}

void GatewayCall::checkLastEndpoint(const std::function<void()> &done)
{
    const Endpoint *known = gateway_->directory_.find(lastEndpoint_);
    if (!route_->resumable_ || known == nullptr || known->incarnation() != incarnation_) {
        done();
        return;
    }
    gateway_->checkIncarnation(*known, [done](IncarnationCheck) { done(); });
}

/** An endpoint that has started again serves for up to a heartbeat and the registry's delay before its entry shows. */
void GatewayCall::sendRest(const Endpoint &endpoint)
{
    gateway_->checkIncarnation(endpoint, [self = shared_from_this(), endpoint](IncarnationCheck check) {
        if (self->step_ != Step::Placing) {
            return;
        }
        if (check == IncarnationCheck::Same || check == IncarnationCheck::Unnamed) {
            self->send(endpoint);
            return;
        }
        self->excluded_.insert(endpoint.id_);
        self->place();
    });
}

void GatewayCall::recordOrigin(const Endpoint &endpoint)
{
    const bool mayBeResumed = route_->kind_ == RouteKind::Streaming && route_->resumable_ && !request_->id_.empty();
    if (!mayBeResumed || origin_) {
        return;
    }
    StreamStart start;
    start.attempt_ = request_->scopedAttempt();
    start.origin_ = StreamOrigin{serviceName_, endpoint.version_};
    start.incarnation_ = endpoint.incarnation();
    start.lifetime_ = streamLifetime();
    start.hasOtherServices_ = route_->targets_.size() > 1;
    gateway_->origins_.record(start);
}

} // namespace filbertgw::internal
