#include "streams/streamoutputs.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const shareType = "stream_output";
const char *const findType = "stream_output_find";
const char *const streamKey = "stream";
const char *const resumptionsKey = "resumptions";
const char *const firstKey = "first";
const char *const eventsKey = "events";
const char *const lifetimeKey = "lifetime_ms";
const char *const missingKey = "missing";
constexpr std::uint64_t maxLifetimeMs = 3'600'000;

struct KnownOutput
{
    StreamOutput output_;
    Duration lifetime_{0};
    Time expires_{0};
    std::size_t bytes_ = 0;
};

/** \brief Some events of a stream, from the one with index first_ on. */
struct OutputPart
{
    std::string stream_;
    std::uint64_t first_ = 0;
    StreamOutput output_;
    Duration lifetime_{0};
};

/** \brief A lookup that waits for the answers of other nodes. */
struct OutputQuery
{
    std::size_t answersLeft_ = 0;
    std::optional<StreamOutput> newest_;
    std::string lastEventId_;
    std::function<void(const std::optional<StreamOutput> &)> done_;

    void offer(StreamOutput output)
    {
        const bool isNewer = !newest_ || output.resumptions_ > newest_->resumptions_
            || (output.resumptions_ == newest_->resumptions_ && output.events_.size() > newest_->events_.size());
        if (isNewer) {
            newest_ = std::move(output);
        }
    }

    void decide()
    {
        // An older copy that has the event would hold events of an attempt that the client no longer follows.
        if (newest_ && !newest_->truncateAfter(lastEventId_)) {
            newest_.reset();
        }
        done_(newest_);
    }
};

std::size_t bytesOf(const std::vector<OutputEvent> &events)
{
    std::size_t bytes = 0;
    for (const OutputEvent &event : events) {
        bytes += sizeof(OutputEvent) + event.id_.size() + event.data_.size();
    }
    return bytes;
}

bool hasUnsigned(const nlohmann::json &body, const char *name)
{
    return body.contains(name) && body[name].is_number_unsigned();
}

/** Events may hold bytes that are no text. */
nlohmann::json toBinary(const std::string &bytes)
{
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

std::string fromBinary(const nlohmann::json &value)
{
    return {value.get_binary().begin(), value.get_binary().end()};
}

nlohmann::json encodeEvents(const std::vector<OutputEvent> &events, std::size_t first)
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = first; i < events.size(); ++i) {
        list.push_back({toBinary(events[i].id_), toBinary(events[i].data_)});
    }
    return list;
}

/** \return nothing if an entry is not [id, data]. */
std::optional<std::vector<OutputEvent>> decodeEvents(const nlohmann::json &list)
{
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<OutputEvent> events;
    for (const nlohmann::json &entry : list) {
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_binary() || !entry[1].is_binary()) {
            return std::nullopt;
        }
        events.push_back(OutputEvent{fromBinary(entry[0]), fromBinary(entry[1])});
    }
    return events;
}

std::optional<OutputPart> decodePart(const nlohmann::json &body)
{
    const bool isPart = body.is_object() && body.contains(streamKey) && body[streamKey].is_string()
        && hasUnsigned(body, resumptionsKey) && hasUnsigned(body, firstKey) && hasUnsigned(body, lifetimeKey)
        && body.contains(eventsKey);
    const std::optional<std::vector<OutputEvent>> events = isPart ? decodeEvents(body[eventsKey]) : std::nullopt;
    if (!events) {
        return std::nullopt;
    }
    OutputPart part;
    part.stream_ = body[streamKey].get<std::string>();
    part.first_ = body[firstKey].get<std::uint64_t>();
    part.output_ = StreamOutput{body[resumptionsKey].get<std::uint64_t>(), *events};
    part.lifetime_ = std::chrono::milliseconds(std::min(body[lifetimeKey].get<std::uint64_t>(), maxLifetimeMs));
    return part;
}

std::optional<StreamOutput> decodeOutput(const std::optional<nlohmann::json> &answer)
{
    if (!answer || !answer->is_object() || !hasUnsigned(*answer, resumptionsKey) || !answer->contains(eventsKey)) {
        return std::nullopt;
    }
    std::optional<std::vector<OutputEvent>> events = decodeEvents((*answer)[eventsKey]);
    if (!events) {
        return std::nullopt;
    }
    return StreamOutput{(*answer)[resumptionsKey].get<std::uint64_t>(), std::move(*events)};
}

} // namespace
} // namespace internal

bool StreamOutput::truncateAfter(const std::string &eventId)
{
    const auto hasId = [&eventId](const OutputEvent &event) { return event.id_ == eventId; };
    const auto found = std::find_if(events_.rbegin(), events_.rend(), hasId);
    if (found == events_.rend()) {
        return false;
    }
    events_.erase(found.base(), events_.end());
    return true;
}

std::string StreamOutput::text() const
{
    std::string text;
    for (const OutputEvent &event : events_) {
        text += event.data_;
        text += '\n';
    }
    return text;
}

struct StreamOutputs::Private : std::enable_shared_from_this<StreamOutputs::Private>
{
    void share(const std::string &stream, std::size_t first);
    void sendPart(const std::string &holder, const std::string &stream, std::size_t first);
    /** \brief Takes a part of another node. \return false if events before it are missing. */
    bool take(internal::OutputPart part);
    void replaceFrom(internal::KnownOutput &known, std::size_t first, std::vector<OutputEvent> events);
    /** \brief Forgets an output: one that lacks events must not be found. */
    void drop(const std::string &stream);
    bool hasRoomFor(const std::vector<OutputEvent> &events) const;
    nlohmann::json handleFind(const nlohmann::json &body) const;

    StreamOutputsHooks hooks_;
    StreamOutputsSettings settings_;
    std::unordered_map<std::string, internal::KnownOutput> outputs_; ///< By stream; own ones and copies.
    std::size_t bytes_ = 0; ///< Of all outputs.
    Time nextExpiry_{0};
    bool stopped_ = false;
};

void StreamOutputs::Private::replaceFrom(internal::KnownOutput &known,
                                         std::size_t first,
                                         std::vector<OutputEvent> events)
{
    std::vector<OutputEvent> &kept = known.output_.events_;
    kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(first), kept.end());
    std::move(events.begin(), events.end(), std::back_inserter(kept));
    bytes_ -= known.bytes_;
    known.bytes_ = internal::bytesOf(kept);
    bytes_ += known.bytes_;
    known.expires_ = hooks_.now_() + known.lifetime_;
}

void StreamOutputs::Private::drop(const std::string &stream)
{
    const auto known = outputs_.find(stream);
    if (known != outputs_.end()) {
        bytes_ -= known->second.bytes_;
        outputs_.erase(known);
    }
}

bool StreamOutputs::Private::hasRoomFor(const std::vector<OutputEvent> &events) const
{
    return bytes_ + internal::bytesOf(events) <= settings_.maxBytes_;
}

void StreamOutputs::Private::share(const std::string &stream, std::size_t first)
{
    for (const FleetMember &holder : hooks_.nodesFor_(stream, settings_.holders_)) {
        sendPart(holder.linkAddress_, stream, first);
    }
}

void StreamOutputs::Private::sendPart(const std::string &holder, const std::string &stream, std::size_t first)
{
    const auto known = outputs_.find(stream);
    if (known == outputs_.end()) {
        return;
    }
    const StreamOutput &output = known->second.output_;
    const auto lifetimeMs = static_cast<std::uint64_t>(known->second.lifetime_.count()) / 1'000;
    const nlohmann::json body = {{internal::streamKey, stream},
                                 {internal::resumptionsKey, output.resumptions_},
                                 {internal::firstKey, first},
                                 {internal::eventsKey, internal::encodeEvents(output.events_, first)},
                                 {internal::lifetimeKey, lifetimeMs}};
    const auto onAnswer =
        [self = shared_from_this(), holder, stream, first](const std::optional<nlohmann::json> &answer) {
            const bool isMissing = answer && answer->is_object() && answer->contains(internal::missingKey);
            if (!self->stopped_ && isMissing && first > 0) {
                self->sendPart(holder, stream, 0);
            }
        };
    hooks_.askPeer_(holder, internal::shareType, body, settings_.shareTimeout_, onAnswer);
}

bool StreamOutputs::Private::take(internal::OutputPart part)
{
    const auto found = outputs_.find(part.stream_);
    if (found != outputs_.end() && part.output_.resumptions_ < found->second.output_.resumptions_) {
        return true; // The client has left the attempt that brought these events.
    }
    const std::size_t present = found == outputs_.end() ? 0 : found->second.output_.events_.size();
    if (part.first_ > present) {
        return false;
    }
    if (!hasRoomFor(part.output_.events_)) {
        drop(part.stream_);
        return true;
    }
    internal::KnownOutput &known = outputs_[part.stream_];
    known.lifetime_ = part.lifetime_;
    known.output_.resumptions_ = part.output_.resumptions_;
    replaceFrom(known, static_cast<std::size_t>(part.first_), std::move(part.output_.events_));
    return true;
}

nlohmann::json StreamOutputs::Private::handleFind(const nlohmann::json &body) const
{
    const bool isQuery =
        body.is_object() && body.contains(internal::streamKey) && body[internal::streamKey].is_string();
    const auto known = isQuery ? outputs_.find(body[internal::streamKey].get<std::string>()) : outputs_.end();
    if (known == outputs_.end()) {
        return nlohmann::json::object();
    }
    const StreamOutput &output = known->second.output_;
    return {{internal::resumptionsKey, output.resumptions_},
            {internal::eventsKey, internal::encodeEvents(output.events_, 0)}};
}

StreamOutputs::StreamOutputs(StreamOutputsHooks hooks, StreamOutputsSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
}

StreamOutputs::~StreamOutputs()
{
    d_->stopped_ = true;
}

void StreamOutputs::begin(const std::string &stream, StreamOutput output, Duration lifetime)
{
    internal::KnownOutput &known = d_->outputs_[stream];
    const std::size_t received = output.events_.size();
    known.lifetime_ = lifetime;
    known.output_.resumptions_ = output.resumptions_;
    d_->replaceFrom(known, 0, std::move(output.events_));
    // Only a resumption changes what other nodes hold.
    if (output.resumptions_ > 0) {
        d_->share(stream, received);
    }
}

void StreamOutputs::add(const std::string &stream, std::vector<OutputEvent> events)
{
    const auto known = d_->outputs_.find(stream);
    if (known == d_->outputs_.end()) {
        return;
    }
    if (!d_->hasRoomFor(events)) {
        d_->drop(stream);
        return;
    }
    const std::size_t first = known->second.output_.events_.size();
    d_->replaceFrom(known->second, first, std::move(events));
    d_->share(stream, first);
}

void StreamOutputs::find(const std::string &stream,
                         const std::string &lastEventId,
                         const std::function<void(const std::optional<StreamOutput> &)> &done)
{
    const std::shared_ptr<internal::OutputQuery> query = std::make_shared<internal::OutputQuery>();
    query->lastEventId_ = lastEventId;
    query->done_ = done;
    const auto known = d_->outputs_.find(stream);
    if (known != d_->outputs_.end()) {
        query->offer(known->second.output_);
    }
    const std::vector<FleetMember> nodes = d_->hooks_.nodesFor_(stream, d_->settings_.askedNodes_);
    if (nodes.empty()) {
        query->decide();
        return;
    }
    query->answersLeft_ = nodes.size();
    const auto onAnswer = [self = d_, query](const std::optional<nlohmann::json> &answer) {
        if (std::optional<StreamOutput> output = internal::decodeOutput(answer)) {
            query->offer(std::move(*output));
        }
        if (--query->answersLeft_ == 0 && !self->stopped_) {
            query->decide();
        }
    };
    for (const FleetMember &node : nodes) {
        d_->hooks_.askPeer_(node.linkAddress_,
                            internal::findType,
                            {{internal::streamKey, stream}},
                            d_->settings_.queryTimeout_,
                            onAnswer);
    }
}

void StreamOutputs::expire()
{
    const Time now = d_->hooks_.now_();
    if (now < d_->nextExpiry_) {
        return;
    }
    d_->nextExpiry_ = now + d_->settings_.expiryPeriod_;
    for (auto entry = d_->outputs_.begin(); entry != d_->outputs_.end();) {
        if (entry->second.expires_ > now) {
            ++entry;
            continue;
        }
        d_->bytes_ -= entry->second.bytes_;
        entry = d_->outputs_.erase(entry);
    }
}

std::size_t StreamOutputs::bytes() const
{
    return d_->bytes_;
}

bool StreamOutputs::onPeerRequest(const std::string &type,
                                  const nlohmann::json &body,
                                  const std::function<void(const nlohmann::json &)> &answer)
{
    if (type == internal::shareType) {
        std::optional<internal::OutputPart> part = internal::decodePart(body);
        const bool isMissing = part && !d_->take(std::move(*part));
        answer(isMissing ? nlohmann::json{{internal::missingKey, true}} : nlohmann::json{{"kept", part.has_value()}});
        return true;
    }
    if (type == internal::findType) {
        answer(d_->handleFind(body));
        return true;
    }
    return false;
}

} // namespace filbertgw
