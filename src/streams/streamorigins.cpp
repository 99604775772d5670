#include "streams/streamorigins.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const shareType = "stream_origins";
const char *const findType = "stream_origin_find";
const char *const originsKey = "origins";
const char *const attemptKey = "attempt";
const char *const servicesKey = "services";
const char *const lifetimeKey = "lifetime_ms";
const char *const originKey = "origin";
const char *const countKey = "versions";
const char *const versionKey = "version";
constexpr std::uint64_t maxLifetimeMs = 3'600'000;

struct KnownOrigin
{
    StreamOrigin origin_;
    std::string incarnation_; ///< Of the endpoint, for own streams.
    Time sentAt_{0};
    Duration lifetime_{0};
    Time expires_{0};
    bool isOwn_ = false; ///< Of a stream of this node.
    bool isReplaced_ = false; ///< The endpoint has started again; either process may have begun the stream.
    bool hasOtherServices_ = false;
    std::size_t shares_ = 0; ///< Times that it was sent to other nodes.
};

/** \brief An own origin that is to be contained in reports. */
struct Announcement
{
    std::string attempt_;
    std::size_t left_ = 0;
};

/** \brief A lookup that waits for the answers of other nodes. */
struct PendingQuery
{
    std::size_t answersLeft_ = 0;
    std::vector<ServiceVersions> views_; ///< Of this node and those that answered.
    std::string service_;
    std::function<void(const FoundOrigin &)> done_; ///< Empty once it was called.

    void finish(const FoundOrigin &found)
    {
        const std::function<void(const FoundOrigin &)> done = std::move(done_);
        done_ = nullptr;
        if (done) {
            done(found);
        }
    }
};

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())) / 1'000;
}

std::optional<Duration> lifetimeOf(const nlohmann::json &value)
{
    if (!value.is_number_unsigned()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(value.get<std::uint64_t>(), maxLifetimeMs));
}

/** Decodes [service, version]. */
std::optional<StreamOrigin> decodeOrigin(const nlohmann::json &value)
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_string() || !value[1].is_string()) {
        return std::nullopt;
    }
    return StreamOrigin{value[0].get<std::string>(), value[1].get<std::string>()};
}

ServiceVersions decodeVersions(const nlohmann::json &answer)
{
    const bool isView = answer.contains(countKey) && answer[countKey].is_string() && answer.contains(versionKey)
        && answer[versionKey].is_string();
    if (!isView) {
        return {};
    }
    const std::string count = answer[countKey].get<std::string>();
    return {valueOf<VersionCount>(count).value_or(VersionCount::Unknown), answer[versionKey].get<std::string>()};
}

/** \return nothing unless some node has seen one version all the time and no node has seen another one. */
std::optional<std::string> onlyVersion(const std::vector<ServiceVersions> &views)
{
    std::optional<std::string> only;
    for (const ServiceVersions &view : views) {
        const bool isOther = view.count_ == VersionCount::One && only && *only != view.version_;
        if (view.count_ == VersionCount::Several || isOther) {
            return std::nullopt;
        }
        if (view.count_ == VersionCount::One) {
            only = view.version_;
        }
    }
    return only;
}

} // namespace
} // namespace internal

struct StreamOrigins::Private : std::enable_shared_from_this<StreamOrigins::Private>
{
    bool needsSharing(const internal::KnownOrigin &origin) const;
    void share(const std::string &attempt, internal::KnownOrigin &origin);
    void sendBatches();
    void sendBatch(const std::string &holder, const std::vector<std::string> &attempts);
    void shareAgain(const std::vector<std::string> &attempts);
    void ask(const StreamQuery &query, const std::shared_ptr<internal::PendingQuery> &pending);
    static void decide(internal::PendingQuery &pending);
    void expire(Time now);
    void add(const StreamOriginNotice &notice);
    StreamOriginNotice noticeOf(const std::string &attempt, const internal::KnownOrigin &origin) const;
    nlohmann::json handleFind(const nlohmann::json &body) const;

    StreamOriginsHooks hooks_;
    StreamOriginsSettings settings_;
    std::unordered_map<std::string, internal::KnownOrigin> origins_; ///< By attempt; own ones and copies.
    std::deque<internal::Announcement> announcements_;
    std::map<std::string, std::vector<std::string>> batches_; ///< Attempts to send, by address of the holder.
    Time nextExpiry_{0};
    bool stopped_ = false;
};

bool StreamOrigins::Private::needsSharing(const internal::KnownOrigin &origin) const
{
    if (origin.hasOtherServices_) {
        return true;
    }
    const ServiceVersions versions = hooks_.versionsOf_(origin.origin_.service_, origin.lifetime_);
    return versions.count_ != VersionCount::One || versions.version_ != origin.origin_.version_;
}

void StreamOrigins::Private::share(const std::string &attempt, internal::KnownOrigin &origin)
{
    if (origin.shares_++ == 0) {
        announcements_.push_back(internal::Announcement{attempt, settings_.announcements_});
    }
    const bool isFirst = batches_.empty();
    for (const FleetMember &holder : hooks_.nodesFor_(attempt, settings_.holders_)) {
        batches_[holder.linkAddress_].push_back(attempt);
    }
    if (isFirst && !batches_.empty()) {
        hooks_.after_(settings_.batchDelay_, [self = shared_from_this()] {
            if (!self->stopped_) {
                self->sendBatches();
            }
        });
    }
}

void StreamOrigins::Private::sendBatches()
{
    const std::map<std::string, std::vector<std::string>> batches = std::exchange(batches_, {});
    for (const std::pair<const std::string, std::vector<std::string>> &batch : batches) {
        sendBatch(batch.first, batch.second);
    }
}

void StreamOrigins::Private::sendBatch(const std::string &holder, const std::vector<std::string> &attempts)
{
    std::vector<StreamOriginNotice> notices;
    for (const std::string &attempt : attempts) {
        const auto known = origins_.find(attempt);
        if (known != origins_.end()) {
            notices.push_back(noticeOf(attempt, known->second));
        }
    }
    const auto onAnswer = [self = shared_from_this(), attempts](const std::optional<nlohmann::json> &answer) {
        if (!self->stopped_ && !answer) {
            self->shareAgain(attempts);
        }
    };
    const nlohmann::json body = {{internal::originsKey, encodeOrigins(notices)}};
    hooks_.askPeer_(holder, internal::shareType, body, settings_.shareTimeout_, onAnswer);
}

/** The holder did not answer: others get the copy. */
void StreamOrigins::Private::shareAgain(const std::vector<std::string> &attempts)
{
    for (const std::string &attempt : attempts) {
        const auto known = origins_.find(attempt);
        if (known != origins_.end() && known->second.shares_ < settings_.maxShares_) {
            share(attempt, known->second);
        }
    }
}

void StreamOrigins::Private::ask(const StreamQuery &query, const std::shared_ptr<internal::PendingQuery> &pending)
{
    const std::vector<FleetMember> nodes = hooks_.nodesFor_(query.attempt_, settings_.askedNodes_);
    if (nodes.empty()) {
        decide(*pending);
        return;
    }
    pending->answersLeft_ = nodes.size();
    const nlohmann::json body = {{internal::attemptKey, query.attempt_},
                                 {internal::servicesKey, query.services_},
                                 {internal::lifetimeKey, internal::milliseconds(query.lifetime_)}};
    const auto onAnswer = [pending](const std::optional<nlohmann::json> &answer) {
        --pending->answersLeft_;
        if (answer && answer->is_object()) {
            const std::optional<StreamOrigin> origin = answer->contains(internal::originKey)
                ? internal::decodeOrigin((*answer)[internal::originKey])
                : std::nullopt;
            if (origin) {
                pending->finish(FoundOrigin{OriginSource::Peer, *origin});
                return;
            }
            pending->views_.push_back(internal::decodeVersions(*answer));
        }
        if (pending->answersLeft_ == 0) {
            decide(*pending);
        }
    };
    for (const FleetMember &node : nodes) {
        hooks_.askPeer_(node.linkAddress_, internal::findType, body, settings_.queryTimeout_, onAnswer);
    }
}

/** No node knows the origin. */
void StreamOrigins::Private::decide(internal::PendingQuery &pending)
{
    const std::optional<std::string> version = internal::onlyVersion(pending.views_);
    if (!version || pending.service_.empty()) {
        pending.finish(FoundOrigin());
        return;
    }
    pending.finish(FoundOrigin{OriginSource::OnlyVersion, StreamOrigin{pending.service_, *version}});
}

void StreamOrigins::Private::expire(Time now)
{
    if (now < nextExpiry_) {
        return;
    }
    nextExpiry_ = now + settings_.expiryPeriod_;
    for (auto entry = origins_.begin(); entry != origins_.end();) {
        entry = entry->second.expires_ <= now ? origins_.erase(entry) : std::next(entry);
    }
}

void StreamOrigins::Private::add(const StreamOriginNotice &notice)
{
    if (origins_.size() >= settings_.maxOrigins_ && origins_.count(notice.attempt_) == 0) {
        return;
    }
    internal::KnownOrigin &known = origins_[notice.attempt_];
    if (!known.isOwn_) {
        known.origin_ = notice.origin_;
        known.expires_ = hooks_.now_() + notice.timeLeft_;
    }
}

StreamOriginNotice StreamOrigins::Private::noticeOf(const std::string &attempt,
                                                    const internal::KnownOrigin &origin) const
{
    return StreamOriginNotice{attempt, origin.origin_, origin.expires_ - hooks_.now_()};
}

nlohmann::json StreamOrigins::Private::handleFind(const nlohmann::json &body) const
{
    const bool isQuery = body.is_object() && body.contains(internal::attemptKey)
        && body[internal::attemptKey].is_string() && body.contains(internal::servicesKey)
        && body[internal::servicesKey].is_array() && body.contains(internal::lifetimeKey);
    const std::optional<Duration> lifetime = isQuery ? internal::lifetimeOf(body[internal::lifetimeKey]) : std::nullopt;
    if (!lifetime) {
        return {};
    }
    const auto known = origins_.find(body[internal::attemptKey].get<std::string>());
    if (known != origins_.end()) {
        const StreamOrigin &origin = known->second.origin_;
        return {{internal::originKey, {origin.service_, origin.version_}}};
    }
    const nlohmann::json &services = body[internal::servicesKey];
    const bool isOneService = services.size() == 1 && services[0].is_string();
    const ServiceVersions versions =
        isOneService ? hooks_.versionsOf_(services[0].get<std::string>(), *lifetime) : ServiceVersions();
    return {{internal::countKey, nameOf(versions.count_)}, {internal::versionKey, versions.version_}};
}

StreamOrigins::StreamOrigins(StreamOriginsHooks hooks, StreamOriginsSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
}

StreamOrigins::~StreamOrigins()
{
    d_->stopped_ = true;
}

void StreamOrigins::record(const StreamStart &start)
{
    if (d_->origins_.size() >= d_->settings_.maxOrigins_ && d_->origins_.count(start.attempt_) == 0) {
        return;
    }
    internal::KnownOrigin &known = d_->origins_[start.attempt_];
    known = internal::KnownOrigin();
    known.origin_ = start.origin_;
    known.incarnation_ = start.incarnation_;
    known.sentAt_ = d_->hooks_.now_();
    known.lifetime_ = start.lifetime_;
    known.expires_ = d_->hooks_.now_() + start.lifetime_;
    known.isOwn_ = true;
    known.hasOtherServices_ = start.hasOtherServices_;
    if (d_->needsSharing(known)) {
        d_->share(start.attempt_, known);
    }
}

void StreamOrigins::endpointReplaced(const std::string &incarnation, Time writtenAfter)
{
    const Time oldest = writtenAfter - d_->settings_.registrationDelay_;
    for (std::pair<const std::string, internal::KnownOrigin> &entry : d_->origins_) {
        internal::KnownOrigin &origin = entry.second;
        if (!origin.isOwn_ || origin.incarnation_ != incarnation || origin.sentAt_ < oldest) {
            continue;
        }
        origin.isReplaced_ = true;
        origin.origin_.version_.clear();
        origin.shares_ = 0;
        d_->share(entry.first, origin);
    }
}

void StreamOrigins::find(const StreamQuery &query, const std::function<void(const FoundOrigin &)> &done)
{
    const auto known = d_->origins_.find(query.attempt_);
    if (known != d_->origins_.end()) {
        done(FoundOrigin{OriginSource::Local, known->second.origin_});
        return;
    }
    const std::shared_ptr<internal::PendingQuery> pending = std::make_shared<internal::PendingQuery>();
    pending->done_ = done;
    // Else the service stays empty, and the views of other nodes, which may be as old, decide nothing.
    if (query.services_.size() == 1 && query.isRegistryCurrent_) {
        pending->service_ = query.services_.front();
        pending->views_.push_back(d_->hooks_.versionsOf_(pending->service_, query.lifetime_));
    }
    d_->ask(query, pending);
}

void StreamOrigins::update()
{
    d_->expire(d_->hooks_.now_());
    for (std::pair<const std::string, internal::KnownOrigin> &entry : d_->origins_) {
        internal::KnownOrigin &origin = entry.second;
        if (origin.isOwn_ && origin.shares_ == 0 && d_->needsSharing(origin)) {
            d_->share(entry.first, origin);
        }
    }
}

bool StreamOrigins::isCertain(const std::string &attempt) const
{
    const auto known = d_->origins_.find(attempt);
    return known == d_->origins_.end() || !known->second.isReplaced_;
}

std::size_t StreamOrigins::size() const
{
    return d_->origins_.size();
}

std::vector<StreamOriginNotice> StreamOrigins::takeAnnouncements()
{
    std::vector<StreamOriginNotice> notices;
    const std::size_t count = std::min(d_->announcements_.size(), d_->settings_.maxAnnounced_);
    for (std::size_t i = 0; i < count; ++i) {
        internal::Announcement next = std::move(d_->announcements_.front());
        d_->announcements_.pop_front();
        const auto known = d_->origins_.find(next.attempt_);
        if (known == d_->origins_.end()) {
            continue;
        }
        notices.push_back(d_->noticeOf(next.attempt_, known->second));
        if (--next.left_ > 0) {
            d_->announcements_.push_back(std::move(next));
        }
    }
    return notices;
}

void StreamOrigins::add(const StreamOriginNotice &notice)
{
    d_->add(notice);
}

bool StreamOrigins::onPeerRequest(const std::string &type,
                                  const nlohmann::json &body,
                                  const std::function<void(const nlohmann::json &)> &answer)
{
    if (type == internal::shareType) {
        const nlohmann::json list = body.is_object() ? body.value(internal::originsKey, nlohmann::json()) : body;
        for (const StreamOriginNotice &notice : decodeOrigins(list)) {
            d_->add(notice);
        }
        answer({{"kept", true}});
        return true;
    }
    if (type == internal::findType) {
        answer(d_->handleFind(body));
        return true;
    }
    return false;
}

} // namespace filbertgw
