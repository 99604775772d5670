#include "platformstore.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace filbertgw::testing {

namespace {

constexpr Duration appendTime{4'000};
constexpr Duration readTime{1'000};
constexpr std::size_t longestPage = 1024 * 1024;
constexpr std::size_t mostItems = 500;
constexpr std::uint64_t repeatsKept = 5;
const char *const jsonType = "application/json";
const std::string keyedPrefix = "keyed.";

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> decodeQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        }
        at = end;
    }
    return query;
}

std::uint64_t numberIn(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

std::string textIn(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

void appendBigEndian(std::string &out, std::uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i) {
        out += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/** \brief Splits the body of an append. \return false if it isn't a whole series of records. */
bool splitRecords(const std::string &body, std::vector<std::string> &records)
{
    std::size_t at = 0;
    while (at + 4 <= body.size()) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            size = (size << 8U) | static_cast<unsigned char>(body[at + i]);
        }
        at += 4;
        if (size > body.size() - at) {
            return false;
        }
        records.push_back(body.substr(at, size));
        at += size;
    }
    return at == body.size();
}

} // namespace

PlatformStore::PlatformStore(IoLoop &loop)
    : loop_(loop)
{
}

PlatformStore::~PlatformStore()
{
    *alive_ = false;
}

std::size_t PlatformStore::listen(const std::string &address)
{
    const std::size_t node = servers_.size();
    HttpLimits limits;
    limits.bodyBytes_ = 4 * 1024 * 1024;
    const auto handler = [this, node](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        onRequest(node, request, reply);
    };
    std::unique_ptr<HttpServer> server =
        boost::leaf::try_handle_all([&] { return HttpServer::listen(loop_, address, limits, handler); },
                                    [](const Failure &failure) {
                                        ADD_FAILURE() << failure.detail_;
                                        return std::unique_ptr<HttpServer>();
                                    },
                                    [] { return std::unique_ptr<HttpServer>(); });
    servers_.push_back(std::move(server));
    modes_.push_back(StoreMode::Up);
    unanswered_.emplace_back();
    return node;
}

void PlatformStore::setMode(std::size_t node, StoreMode mode)
{
    modes_[node] = mode;
    if (mode != StoreMode::Silent) {
        unanswered_[node].clear(); // Closes the connections, which return nothing further.
    }
}

PlatformStore::Partition &PlatformStore::partition(const std::string &topic, std::uint64_t part)
{
    Partition &found = partitions_[{topic, part}];
    found.isKeyed_ = topic.compare(0, keyedPrefix.size(), keyedPrefix) == 0;
    return found;
}

std::size_t PlatformStore::records(const std::string &topic, std::uint64_t part)
{
    return partition(topic, part).records_.size();
}

void PlatformStore::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    Partition &target = partition(topic, 0);
    std::string record(1, static_cast<char>(key.size()));
    add(target, record + key + value.value_or(std::string()));
    wakeReaders(target);
}

void PlatformStore::add(Partition &partition, std::string record)
{
    if (partition.isKeyed_ && !record.empty()) {
        const std::size_t size = static_cast<unsigned char>(record[0]);
        const std::string key = record.substr(1, size);
        if (record.size() > size + 1) {
            partition.newest_[key] = Newest{record.substr(size + 1), partition.records_.size()};
        } else {
            partition.newest_.erase(key);
        }
    }
    partition.records_.push_back(std::move(record));
}

void PlatformStore::onRequest(std::size_t node, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (modes_[node] == StoreMode::Silent) {
        unanswered_[node].push_back(reply);
        return;
    }
    if (modes_[node] == StoreMode::Busy) {
        reply->send(503, jsonType, "{}");
        return;
    }
    const std::string path = request.target_.substr(0, request.target_.find('?'));
    const Query query = decodeQuery(request.target_);
    if (path == "/-/log-append") {
        Partition &target = partition(textIn(query, "topic"), numberIn(query, "part"));
        target.freeAt_ = std::max(target.freeAt_, loop_.now()) + appendTime;
        answerAfter(node, target.freeAt_ - loop_.now(), reply, [this, query, body = request.body_](const auto &answer) {
            append(query, body, answer);
        });
    } else if (path == "/-/log-read") {
        answerAfter(node, readTime, reply, [this, node, query](const auto &answer) { read(node, query, answer); });
    } else if (path == "/-/log-newest") {
        answerAfter(node, readTime, reply, [this, query](const auto &answer) { newest(query, answer); });
    } else {
        reply->send(404, jsonType, "{}");
    }
}

void PlatformStore::answerAfter(std::size_t node,
                                Duration delay,
                                const std::shared_ptr<HttpReply> &reply,
                                std::function<void(const std::shared_ptr<HttpReply> &)> call)
{
    loop_.after(delay, [this, alive = alive_, node, reply, call = std::move(call)] {
        if (!*alive) {
            return;
        }
        if (modes_[node] == StoreMode::Silent) {
            unanswered_[node].push_back(reply);
        } else {
            call(reply);
        }
    });
}

std::optional<std::pair<int, std::string>> PlatformStore::checkProducer(Partition &partition, const Query &query)
{
    const std::uint64_t epoch = numberIn(query, "epoch");
    const std::uint64_t sequence = numberIn(query, "sequence");
    Producer &producer = partition.producers_[textIn(query, "producer")];
    if (epoch < producer.epoch_) {
        return std::make_pair(409, std::string("{\"why\":\"fenced\"}"));
    }
    if (epoch > producer.epoch_) {
        producer = Producer();
        producer.epoch_ = epoch;
        return std::nullopt;
    }
    const auto repeated = producer.answers_.find(sequence);
    if (repeated != producer.answers_.end()) {
        return std::make_pair(200, repeated->second);
    }
    if (producer.last_ && sequence != *producer.last_ + 1) {
        return std::make_pair(409, nlohmann::json{{"why", "seq"}, {"sequence", *producer.last_ + 1}}.dump());
    }
    return std::nullopt;
}

void PlatformStore::append(const Query &query, const std::string &body, const std::shared_ptr<HttpReply> &reply)
{
    Partition &target = partition(textIn(query, "topic"), numberIn(query, "part"));
    std::vector<std::string> records;
    if (!splitRecords(body, records)) {
        reply->send(400, jsonType, "{}");
        return;
    }
    if (query.count("at") > 0 && numberIn(query, "at") != target.records_.size()) {
        reply->send(412, jsonType, nlohmann::json{{"end", target.records_.size()}}.dump());
        return;
    }
    const bool hasProducer = query.count("producer") > 0;
    if (hasProducer) {
        const std::optional<std::pair<int, std::string>> refusal = checkProducer(target, query);
        if (refusal) {
            reply->send(refusal->first, jsonType, refusal->second);
            return;
        }
    }
    const std::size_t offset = target.records_.size();
    for (std::string &record : records) {
        add(target, std::move(record));
    }
    const std::string answer = nlohmann::json{{"offset", offset}, {"end", target.records_.size()}}.dump();
    if (hasProducer && !records.empty()) {
        Producer &producer = target.producers_[textIn(query, "producer")];
        producer.last_ = numberIn(query, "sequence");
        producer.answers_[*producer.last_] = answer;
        if (producer.answers_.size() > repeatsKept) {
            producer.answers_.erase(producer.answers_.begin());
        }
    }
    reply->send(200, jsonType, answer);
    wakeReaders(target);
}

std::string PlatformStore::page(const Partition &partition, std::uint64_t from)
{
    std::string body;
    appendBigEndian(body, partition.records_.size(), 8);
    appendBigEndian(body, 0, 8);
    for (std::size_t i = from; i < partition.records_.size() && body.size() < longestPage; ++i) {
        appendBigEndian(body, partition.records_[i].size(), 4);
        body += partition.records_[i];
    }
    return body;
}

void PlatformStore::read(std::size_t node, const Query &query, const std::shared_ptr<HttpReply> &reply)
{
    const std::pair<std::string, std::uint64_t> id{textIn(query, "topic"), numberIn(query, "part")};
    Partition &source = partition(id.first, id.second);
    const std::uint64_t from = numberIn(query, "from");
    const std::uint64_t waitMs = numberIn(query, "wait_ms");
    if (from < source.records_.size() || waitMs == 0) {
        reply->send(200, "application/octet-stream", page(source, from));
        return;
    }
    const std::uint64_t reader = nextReader_++;
    const auto expire = [this, alive = alive_, id, reader] {
        if (!*alive) {
            return;
        }
        Partition &waited = partition(id.first, id.second);
        for (auto found = waited.readers_.begin(); found != waited.readers_.end(); ++found) {
            if (found->id_ == reader) {
                const Reader expired = std::move(*found);
                waited.readers_.erase(found);
                expired.reply_->send(200, "application/octet-stream", page(waited, expired.from_));
                return;
            }
        }
    };
    const std::uint64_t timer = loop_.after(std::chrono::milliseconds(waitMs), expire);
    source.readers_.push_back(Reader{reader, from, timer, node, reply});
}

void PlatformStore::wakeReaders(Partition &partition)
{
    std::list<Reader> waiting;
    waiting.swap(partition.readers_);
    for (Reader &reader : waiting) {
        if (reader.from_ >= partition.records_.size()) {
            partition.readers_.push_back(std::move(reader));
            continue;
        }
        loop_.cancel(reader.timer_);
        if (modes_[reader.node_] == StoreMode::Silent) {
            unanswered_[reader.node_].push_back(reader.reply_);
        } else {
            reader.reply_->send(200, "application/octet-stream", page(partition, reader.from_));
        }
    }
}

void PlatformStore::newest(const Query &query, const std::shared_ptr<HttpReply> &reply)
{
    const Partition &source = partition(textIn(query, "topic"), numberIn(query, "part"));
    nlohmann::json items = nlohmann::json::array();
    std::size_t bytes = 0;
    auto next = source.newest_.upper_bound(textIn(query, "after"));
    for (; next != source.newest_.end() && items.size() < mostItems && bytes < longestPage; ++next) {
        bytes += next->second.value_.size();
        items.push_back(
            {{"key", next->first}, {"value", encodeBase64(next->second.value_)}, {"offset", next->second.offset_}});
    }
    const nlohmann::json answer{
        {"items", items}, {"has_more", next != source.newest_.end()}, {"end", source.records_.size()}};
    reply->send(200, jsonType, answer.dump());
}

} // namespace filbertgw::testing
