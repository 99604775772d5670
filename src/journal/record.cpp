#include "journal/record.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace filbertgw {

namespace {

using nlohmann::json;

constexpr std::size_t maxIdBytes = 256;
constexpr std::int64_t maxAmount = std::int64_t{1} << 50; // Keeps sums of many amounts below the range of 64 bits.

/**
 * \brief Reads fields of an object, checks their types and sizes, and collects the unknown fields.
 *
 * The object must outlive the reader.
 */
class FieldReader
{
public:
    explicit FieldReader(const json &object)
        : object_(&object)
        , valid_(object.is_object())
    {
    }

    void text(const char *name, std::string &out, std::size_t limit = maxRecordBytes, bool required = true)
    {
        const json *value = find(name, required);
        if (value == nullptr) {
            return;
        }
        if (!value->is_string() || value->get_ref<const std::string &>().size() > limit) {
            return fail(name);
        }
        out = value->get_ref<const std::string &>();
    }
    template<typename Tag>
    void id(const char *name, StrongId<Tag> &out, bool required = true)
    {
        std::string value;
        text(name, value, maxIdBytes, required);
        out = StrongId<Tag>(std::move(value));
    }
    template<typename Number>
    void number(const char *name, Number &out, bool required = true)
    {
        const json *value = find(name, required);
        if (value == nullptr) {
            return;
        }
        const bool isNegative =
            value->is_number_integer() && !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
        if (!value->is_number_integer() || isNegative
            || value->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
            return fail(name);
        }
        out = value->get<Number>();
    }
    void time(const char *name, Time &out)
    {
        std::uint64_t value = 0;
        number(name, value, false);
        if (value > static_cast<std::uint64_t>(maxAmount) * 1024) {
            return fail(name);
        }
        out = Time(static_cast<std::int64_t>(value));
    }
    void flag(const char *name, bool &out)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_boolean()) {
            return fail(name);
        }
        out = value->get<bool>();
    }
    template<typename Enum>
    void enumValue(const char *field, Enum &out)
    {
        std::string value;
        text(field, value, maxIdBytes);
        if (const std::optional<Enum> known = valueOf<Enum>(value)) {
            out = *known;
        } else {
            fail(field);
        }
    }
    void spend(const char *name, Spend &out)
    {
        const json *value = find(name, false);
        if (value == nullptr) {
            return;
        }
        if (!spendFromJson(*value, out)) {
            fail(name);
        }
    }
    const json &jsonValue(const char *name)
    {
        static const json none;
        const json *value = find(name, true);
        return value == nullptr ? none : *value;
    }
    void fail(const char *name)
    {
        valid_ = false;
        if (error_.empty()) {
            error_ = std::string("field ") + name + " is missing or has a wrong type or size";
        }
    }
    bool isValid() const
    {
        return valid_;
    }
    const std::string &error() const
    {
        return error_;
    }
    /** \brief The fields of the object that were not read. */
    json unknownFields() const
    {
        json result = json::object();
        for (const auto &entry : object_->items()) {
            if (std::find(readNames_.begin(), readNames_.end(), entry.key()) == readNames_.end()) {
                result[entry.key()] = entry.value();
            }
        }
        return result;
    }

private:
    const json *find(const char *name, bool required)
    {
        if (!valid_) {
            return nullptr;
        }
        readNames_.push_back(name);
        const json::const_iterator found = object_->find(name);
        if (found == object_->end()) {
            if (required) {
                fail(name);
            }
            return nullptr;
        }
        return &*found;
    }

    const json *object_;
    std::vector<std::string_view> readNames_;
    bool valid_;
    std::string error_;
};

TurnBody parseTurn(FieldReader &fields)
{
    TurnBody turn;
    fields.number("sequence", turn.sequence_);
    fields.enumValue("status", turn.status_);
    fields.id("request_id", turn.requestId_);
    fields.text("request_hash", turn.requestHash_, maxIdBytes);
    fields.text("content_hash", turn.contentHash_, maxIdBytes);
    fields.enumValue("kind", turn.kind_);
    fields.text("target", turn.target_, maxIdBytes);
    fields.text("input", turn.input_);
    fields.text("answer", turn.answer_);
    if (turn.status_ == TurnStatus::Refused) {
        fields.enumValue("refusal", turn.refusal_);
        fields.flag("not_run", turn.refusalNotRun_);
    }
    fields.spend("usage", turn.usage_);
    fields.id("endpoint", turn.endpoint_, false);
    fields.spend("reserved_ahead", turn.reserved_);
    fields.spend("spent", turn.spent_);
    return turn;
}

bool isBoundedAt(const json &value, std::size_t depth, std::size_t &bytes)
{
    if (depth > maxRecordDepth) {
        return false;
    }
    bytes += 8;
    if (value.is_string()) {
        bytes += value.get_ref<const std::string &>().size();
    } else if (value.is_structured()) {
        for (const auto &entry : value.items()) {
            if (value.is_object()) {
                bytes += entry.key().size();
            }
            if (!isBoundedAt(entry.value(), depth + 1, bytes)) {
                return false;
            }
        }
    }
    return bytes <= maxRecordBytes;
}

json bodyToJson(const ClaimBody &body)
{
    return {{"supersedes", body.supersedes_}, {"reserved_ahead", spendToJson(body.reserved_)}};
}
json bodyToJson(const CreateBody &body)
{
    json result = {{"request_id", body.requestId_.value()},
                   {"account", body.account_.value()},
                   {"budget", spendToJson(body.budget_)},
                   {"deadline_us", static_cast<std::uint64_t>(body.deadline_.count())},
                   {"max_turns", body.maxTurns_},
                   {"reserved_ahead", spendToJson(body.reserved_)}};
    if (!body.parent_.isEmpty()) {
        result["spent"] = spendToJson(body.spent_);
        result["parent"] = body.parent_.value();
    }
    return result;
}
json bodyToJson(const ReserveBody &body)
{
    return {{"reserved", spendToJson(body.reserved_)}, {"spent", spendToJson(body.spent_)}};
}
json bodyToJson(const IntentBody &body)
{
    return {{"request_id", body.requestId_.value()},
            {"request_hash", body.requestHash_},
            {"kind", nameOf(body.kind_)},
            {"target", body.target_},
            {"input", body.input_},
            {"reserved", spendToJson(body.reserved_)},
            {"spent", spendToJson(body.spent_)}};
}
json bodyToJson(const TurnBody &body)
{
    return turnToJson(body);
}
json bodyToJson(const CheckpointBody &body)
{
    return {{"covers", body.coveredOffset_}, {"idle", body.idle_}, {"state", body.state_}};
}
json bodyToJson(const ReleaseBody &body)
{
    return {{"spent", spendToJson(body.spent_)}};
}
json bodyToJson(const EndBody &body)
{
    return {{"reason", nameOf(body.reason_)}};
}
json bodyToJson(const QuarantineBody &body)
{
    return {{"content_hash", body.contentHash_}, {"convicted", body.isPoison_}};
}

RecordBody parseBody(RecordType type, FieldReader &fields)
{
    switch (type) {
    case RecordType::Claim: {
        ClaimBody body;
        fields.number("supersedes", body.supersedes_);
        fields.spend("reserved_ahead", body.reserved_);
        return body;
    }
    case RecordType::Create: {
        CreateBody body;
        fields.id("request_id", body.requestId_);
        fields.id("account", body.account_);
        fields.id("parent", body.parent_, false);
        fields.spend("budget", body.budget_);
        fields.time("deadline_us", body.deadline_);
        fields.number("max_turns", body.maxTurns_);
        fields.spend("reserved_ahead", body.reserved_);
        fields.spend("spent", body.spent_);
        return body;
    }
    case RecordType::Reserve: {
        ReserveBody body;
        fields.spend("reserved", body.reserved_);
        fields.spend("spent", body.spent_);
        return body;
    }
    case RecordType::Intent: {
        IntentBody body;
        fields.id("request_id", body.requestId_);
        fields.text("request_hash", body.requestHash_, maxIdBytes);
        fields.enumValue("kind", body.kind_);
        fields.text("target", body.target_, maxIdBytes);
        fields.text("input", body.input_);
        fields.spend("reserved", body.reserved_);
        fields.spend("spent", body.spent_);
        return body;
    }
    case RecordType::Outcome:
    case RecordType::Turn:
        return parseTurn(fields);
    case RecordType::Checkpoint: {
        CheckpointBody body;
        fields.number("covers", body.coveredOffset_);
        fields.flag("idle", body.idle_);
        body.state_ = fields.jsonValue("state");
        return body;
    }
    case RecordType::Release: {
        ReleaseBody body;
        fields.spend("spent", body.spent_);
        return body;
    }
    case RecordType::End: {
        EndBody body;
        fields.enumValue("reason", body.reason_);
        return body;
    }
    case RecordType::Quarantine: {
        QuarantineBody body;
        fields.text("content_hash", body.contentHash_, maxIdBytes);
        fields.flag("convicted", body.isPoison_);
        return body;
    }
    }
    return ReleaseBody{};
}

/** \brief Checks the nesting before parsing, because destroying a deeply nested value could overflow the stack. */
bool isNestingBounded(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                inString = false;
            }
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxRecordDepth) {
                return false;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace

json spendToJson(const Spend &spend)
{
    return {{"tokens", spend.tokens_}, {"calls", spend.calls_}, {"money_micros", spend.moneyMicros_}};
}

bool spendFromJson(const json &value, Spend &spend)
{
    if (!value.is_object()) {
        return false;
    }
    const std::array<std::pair<const char *, std::int64_t *>, 3> amounts{
        {{"tokens", &spend.tokens_}, {"calls", &spend.calls_}, {"money_micros", &spend.moneyMicros_}}};
    for (const std::pair<const char *, std::int64_t *> &amount : amounts) {
        const json::const_iterator found = value.find(amount.first);
        if (found == value.end() || !found->is_number_integer()) {
            return false;
        }
        if (found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(maxAmount)) {
            return false;
        }
        *amount.second = found->get<std::int64_t>();
        if (*amount.second < 0) {
            return false;
        }
    }
    return true;
}

json turnToJson(const TurnBody &turn)
{
    json result = {{"sequence", turn.sequence_},
                   {"status", nameOf(turn.status_)},
                   {"request_id", turn.requestId_.value()},
                   {"request_hash", turn.requestHash_},
                   {"content_hash", turn.contentHash_},
                   {"kind", nameOf(turn.kind_)},
                   {"target", turn.target_},
                   {"input", turn.input_},
                   {"answer", turn.answer_},
                   {"usage", spendToJson(turn.usage_)},
                   {"endpoint", turn.endpoint_.value()},
                   {"reserved_ahead", spendToJson(turn.reserved_)},
                   {"spent", spendToJson(turn.spent_)}};
    if (turn.status_ == TurnStatus::Refused) {
        result["refusal"] = nameOf(turn.refusal_);
        result["not_run"] = turn.refusalNotRun_;
    }
    return result;
}

bool turnFromJson(const json &value, TurnBody &turn)
{
    FieldReader fields(value);
    turn = parseTurn(fields);
    return fields.isValid();
}

json toJson(const Record &record)
{
    json body = std::visit([](const auto &typed) { return bodyToJson(typed); }, record.body_);
    if (record.bodyExtra_.is_object()) {
        body.update(record.bodyExtra_);
    }
    json result = record.extra_.is_object() ? record.extra_ : json::object();
    result["id"] = record.id_.value();
    result["schema"] = record.schema_;
    result["type"] = nameOf(record.type_);
    result["program"] = record.program_.value();
    if (record.root_ != record.program_ && !record.root_.isEmpty()) {
        result["root"] = record.root_.value();
    }
    result["node"] = record.node_.value();
    result["fencing"] = record.fencing_;
    result["body"] = std::move(body);
    return result;
}

bool isBounded(const json &value)
{
    std::size_t bytes = 0;
    return isBoundedAt(value, 0, bytes);
}

std::optional<Record> parseRecord(const json &value, std::string &error)
{
    if (!isBounded(value)) {
        error = "record is too large or too deeply nested";
        return std::nullopt;
    }
    if (!value.is_object()) {
        error = "record is not an object";
        return std::nullopt;
    }
    Record record;
    FieldReader head(value);
    head.id("id", record.id_);
    head.number("schema", record.schema_);
    if (head.isValid() && record.schema_ > recordSchema) {
        head.id("program", record.program_, false);
        record.extra_ = head.unknownFields();
        return record;
    }
    head.enumValue("type", record.type_);
    head.id("program", record.program_);
    head.id("root", record.root_, false);
    head.id("node", record.node_);
    head.number("fencing", record.fencing_);
    const json &body = head.jsonValue("body");
    if (!head.isValid() || record.id_.isEmpty()) {
        error = head.error().empty() ? "field id is empty" : head.error();
        return std::nullopt;
    }
    if (record.root_.isEmpty()) {
        record.root_ = record.program_;
    }
    FieldReader fields(body);
    if (!fields.isValid()) {
        error = "body is not an object";
        return std::nullopt;
    }
    record.body_ = parseBody(record.type_, fields);
    if (!fields.isValid()) {
        error = fields.error();
        return std::nullopt;
    }
    record.extra_ = head.unknownFields();
    record.bodyExtra_ = fields.unknownFields();
    return record;
}

std::optional<Record> parseRecordText(std::string_view text, std::string &error)
{
    if (text.size() > maxRecordBytes || !isNestingBounded(text)) {
        error = "record is too large or too deeply nested";
        return std::nullopt;
    }
    const json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        error = "record is not JSON";
        return std::nullopt;
    }
    return parseRecord(value, error);
}

Spend operator+(const Spend &a, const Spend &b)
{
    return {a.tokens_ + b.tokens_, a.calls_ + b.calls_, a.moneyMicros_ + b.moneyMicros_};
}

Spend operator-(const Spend &a, const Spend &b)
{
    return {a.tokens_ - b.tokens_, a.calls_ - b.calls_, a.moneyMicros_ - b.moneyMicros_};
}

bool operator==(const Spend &a, const Spend &b)
{
    return a.tokens_ == b.tokens_ && a.calls_ == b.calls_ && a.moneyMicros_ == b.moneyMicros_;
}

bool fitsIn(const Spend &a, const Spend &b)
{
    return a.tokens_ <= b.tokens_ && a.calls_ <= b.calls_ && a.moneyMicros_ <= b.moneyMicros_;
}

Spend minimum(const Spend &a, const Spend &b)
{
    return {std::min(a.tokens_, b.tokens_), std::min(a.calls_, b.calls_), std::min(a.moneyMicros_, b.moneyMicros_)};
}

Spend maximum(const Spend &a, const Spend &b)
{
    return {std::max(a.tokens_, b.tokens_), std::max(a.calls_, b.calls_), std::max(a.moneyMicros_, b.moneyMicros_)};
}

Spend clampedToZero(const Spend &spend)
{
    return {std::max<std::int64_t>(spend.tokens_, 0),
            std::max<std::int64_t>(spend.calls_, 0),
            std::max<std::int64_t>(spend.moneyMicros_, 0)};
}

} // namespace filbertgw
