#include "config/configcontroller.h"
#include "config/configrecord.h"

#include <algorithm>
#include <limits>

namespace filbertgw {

namespace internal {

enum class FieldType : std::uint8_t { Text, Address, Flag, Integer, Number, NameList, Object };

/** \brief Type and bounds of a field; `min_` and `max_` bound numbers and the length of lists. */
struct FieldRule
{
    const char *name_;
    FieldType type_;
    bool required_;
    std::int64_t min_;
    std::int64_t max_;
};

constexpr std::int64_t noUpperBound = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t maxListLength = 1024;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t hashDigits = 64; ///< SHA-256 in hexadecimal.
constexpr std::size_t minSaltDigits = 8;

const std::vector<FieldRule> endpointRules{
    {"address", FieldType::Address, true, 0, 0},
    {"domain", FieldType::Text, true, 0, 0},
    {"refuses_old_fencing", FieldType::Flag, false, 0, 0},
    {"checks_orders", FieldType::Flag, false, 0, 0},
    {"cache_tokens", FieldType::Integer, false, 16, noUpperBound},
    {"max_streams", FieldType::Integer, false, 1, 4096},
};

const std::vector<FieldRule> modelRules{
    {"default_max_tokens", FieldType::Integer, false, 1, 10'000'000},
    {"price_micros_per_token", FieldType::Integer, false, 0, noUpperBound},
};

const std::vector<FieldRule> accountRules{
    {"keys", FieldType::NameList, true, 1, 16},
    {"requests_per_second", FieldType::Number, false, 0, noUpperBound},
    {"concurrent_calls", FieldType::Integer, false, 0, noUpperBound},
    {"open_programs", FieldType::Integer, false, 0, noUpperBound},
};

const std::vector<FieldRule> templateRules{
    {"budget", FieldType::Object, true, 0, 0},
    {"max_turns", FieldType::Integer, false, 1, 10'000},
    {"deadline_ms", FieldType::Integer, false, 0, 365LL * 24 * 3600 * 1000},
};

const std::vector<FieldRule> budgetRules{
    {"tokens", FieldType::Integer, true, 0, noUpperBound},
    {"calls", FieldType::Integer, true, 0, noUpperBound},
    {"money_micros", FieldType::Integer, true, 0, noUpperBound},
};

const std::vector<FieldRule> weightsRules{
    {"latency", FieldType::Number, true, 0, 1'000'000},
    {"wasted_cache", FieldType::Number, true, 0, 1'000'000},
};

const std::vector<FieldRule> drainRules{
    {"draining", FieldType::Flag, true, 0, 0},
};

const std::vector<FieldRule> operationRules{
    {"idempotent", FieldType::Flag, true, 0, 0},
    {"price_micros", FieldType::Integer, false, 0, noUpperBound},
};

bool isName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.' || c == '/' || c == ':';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isHex(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || text.size() - colon > 6) {
        return false;
    }
    const std::string port = text.substr(colon + 1);
    if (port.empty() || port.find_first_not_of("0123456789") != std::string::npos) {
        return false;
    }
    const int number = std::stoi(port);
    return number >= 1 && number <= 65535 && text.find_first_of(" /\t\r\n") == std::string::npos;
}

bool isSaltedHash(const std::string &text)
{
    const std::size_t separator = text.find('$');
    return separator != std::string::npos && separator >= minSaltDigits && isHex(text.substr(0, separator))
        && isHex(text.substr(separator + 1)) && text.size() - separator - 1 == hashDigits;
}

/** \brief Collects all errors of a record. */
class RecordCheck
{
public:
    void add(const std::string &detail)
    {
        failures_.push_back(Failure{FailureType::InvalidRequest, true, detail, Duration(0)});
    }

    void require(bool condition, const std::string &detail)
    {
        if (!condition) {
            add(detail);
        }
    }

    void checkFields(const nlohmann::json &object, const std::string &path, const std::vector<FieldRule> &rules)
    {
        for (const FieldRule &rule : rules) {
            const auto value = object.find(rule.name_);
            if (value != object.end()) {
                checkField(*value, path + rule.name_, rule);
            } else if (rule.required_) {
                add(path + rule.name_ + " is missing");
            }
        }
    }

    std::vector<Failure> take()
    {
        return std::move(failures_);
    }

private:
    void checkField(const nlohmann::json &value, const std::string &path, const FieldRule &rule)
    {
        switch (rule.type_) {
        case FieldType::Text:
            require(value.is_string() && isName(value.get_ref<const std::string &>()), path + " is not a name");
            break;
        case FieldType::Address:
            require(value.is_string() && isAddress(value.get_ref<const std::string &>()), path + " is not host:port");
            break;
        case FieldType::Flag:
            require(value.is_boolean(), path + " is not true or false");
            break;
        case FieldType::Integer:
            require(isIntegerIn(value, rule.min_, rule.max_), path + " is not an integer" + boundsOf(rule));
            break;
        case FieldType::Number:
            require(value.is_number() && value.get<double>() >= static_cast<double>(rule.min_)
                        && value.get<double>() <= static_cast<double>(rule.max_),
                    path + " is not a number" + boundsOf(rule));
            break;
        case FieldType::NameList:
            checkNames(value, path, rule);
            break;
        case FieldType::Object:
            require(value.is_object(), path + " is not an object");
            break;
        }
    }

    void checkNames(const nlohmann::json &value, const std::string &path, const FieldRule &rule)
    {
        if (!value.is_array()) {
            add(path + " is not a list");
            return;
        }
        const std::int64_t size = static_cast<std::int64_t>(value.size());
        require(size >= rule.min_ && size <= rule.max_,
                path + " has " + std::to_string(size) + " items, not" + boundsOf(rule));
        for (const nlohmann::json &item : value) {
            if (!item.is_string() || item.get_ref<const std::string &>().empty()) {
                add(path + " has an item that is not a name");
                return;
            }
        }
    }

    static bool isIntegerIn(const nlohmann::json &value, std::int64_t min, std::int64_t max)
    {
        if (value.is_number_unsigned()) {
            const std::uint64_t number = value.get<std::uint64_t>();
            return number <= static_cast<std::uint64_t>(max) && (min <= 0 || number >= static_cast<std::uint64_t>(min));
        }
        return value.is_number_integer() && value.get<std::int64_t>() >= min && value.get<std::int64_t>() <= max;
    }

    static std::string boundsOf(const FieldRule &rule)
    {
        if (rule.max_ == noUpperBound) {
            return " of at least " + std::to_string(rule.min_);
        }
        return " from " + std::to_string(rule.min_) + " to " + std::to_string(rule.max_);
    }

    std::vector<Failure> failures_;
};

void checkOperationTable(RecordCheck &check, const nlohmann::json &body)
{
    const auto operations = body.find("operations");
    if (operations == body.end() || !operations->is_object() || operations->empty()) {
        check.add("body.operations is not an object of operations, as schema 2 has it");
        return;
    }
    for (auto item = operations->begin(); item != operations->end(); ++item) {
        const std::string path = "body.operations." + item.key();
        check.require(isName(item.key()), path + " is not a name");
        if (!item->is_object()) {
            check.add(path + " is not an object");
            continue;
        }
        check.checkFields(*item, path + ".", operationRules);
    }
}

void checkOperationLists(RecordCheck &check, const nlohmann::json &body)
{
    check.checkFields(body,
                      "body.",
                      {{"operations", FieldType::NameList, true, 1, maxListLength},
                       {"non_idempotent", FieldType::NameList, false, 0, maxListLength}});
    const auto operations = body.find("operations");
    const auto nonIdempotent = body.find("non_idempotent");
    if (operations == body.end() || nonIdempotent == body.end() || !operations->is_array()
        || !nonIdempotent->is_array()) {
        return;
    }
    for (const nlohmann::json &name : *nonIdempotent) {
        const bool known = std::find(operations->begin(), operations->end(), name) != operations->end();
        check.require(known, "body.non_idempotent names " + name.dump() + ", which is not in body.operations");
    }
}

void checkEndpoint(RecordCheck &check, const nlohmann::json &body, std::int64_t schema)
{
    check.checkFields(body, "body.", endpointRules);
    const auto kindField = body.find("kind");
    const std::string kind = kindField != body.end() && kindField->is_string() ? kindField->get<std::string>() : "";
    if (kind == nameOf(CallKind::Model)) {
        check.checkFields(body, "body.", {{"models", FieldType::NameList, true, 1, maxListLength}});
    } else if (kind != nameOf(CallKind::Tool) && kind != nameOf(CallKind::Service)) {
        check.add("body.kind is not model, tool or service");
    } else if (schema == 1) {
        checkOperationLists(check, body);
    } else {
        checkOperationTable(check, body);
    }
    // Left over from schema 1 it would be ignored as an unknown field, and the operations it lists would be retried.
    check.require(schema == 1 || body.count("non_idempotent") == 0, "body.non_idempotent belongs to schema 1");
}

void checkAccount(RecordCheck &check, const nlohmann::json &body)
{
    check.checkFields(body, "body.", accountRules);
    const auto keys = body.find("keys");
    if (keys == body.end() || !keys->is_array()) {
        return;
    }
    for (const nlohmann::json &key : *keys) {
        check.require(key.is_string() && isSaltedHash(key.get_ref<const std::string &>()),
                      "body.keys has an item that is not SALT$SHA256 in lower-case hexadecimal");
    }
}

void checkTemplate(RecordCheck &check, const nlohmann::json &body)
{
    check.checkFields(body, "body.", templateRules);
    const auto budget = body.find("budget");
    if (budget != body.end() && budget->is_object()) {
        check.checkFields(*budget, "body.budget.", budgetRules);
    }
}

void checkBody(RecordCheck &check, RecordKind kind, const nlohmann::json &record, std::int64_t schema)
{
    const auto body = record.find("body");
    if (body == record.end() || !body->is_object()) {
        check.add("body is not an object");
        return;
    }
    switch (kind) {
    case RecordKind::Endpoint:
        checkEndpoint(check, *body, schema);
        break;
    case RecordKind::Account:
        checkAccount(check, *body);
        break;
    case RecordKind::Template:
        checkTemplate(check, *body);
        break;
    case RecordKind::Model:
        check.checkFields(*body, "body.", modelRules);
        break;
    case RecordKind::Weights:
        check.checkFields(*body, "body.", weightsRules);
        check.require(record.at("name") == weightsName, std::string("name of weights is not \"") + weightsName + "\"");
        break;
    case RecordKind::Drain:
        check.checkFields(*body, "body.", drainRules);
        break;
    }
}

bool hasText(const nlohmann::json &record, const char *field)
{
    const auto value = record.find(field);
    return value != record.end() && value->is_string();
}

} // namespace internal

std::vector<Failure> validateHeader(const nlohmann::json &record)
{
    internal::RecordCheck check;
    if (!record.is_object()) {
        check.add("the record is not an object");
        return check.take();
    }
    if (!internal::isNestedAtMost(record, maxRecordDepth)) {
        check.add("the record is nested too deeply");
        return check.take();
    }
    check.checkFields(record,
                      "",
                      {{"kind", internal::FieldType::Text, true, 0, 0},
                       {"name", internal::FieldType::Text, true, 0, 0},
                       {"id", internal::FieldType::Text, true, 0, 0},
                       {"schema", internal::FieldType::Integer, true, 1, internal::noUpperBound},
                       {"replaces", internal::FieldType::Integer, true, 0, internal::noUpperBound},
                       {"origin", internal::FieldType::Integer, false, 1, internal::noUpperBound},
                       {"as_of", internal::FieldType::Integer, false, 1, internal::noUpperBound},
                       {"removed", internal::FieldType::Flag, false, 0, 0}});
    check.require(record.count(snapshotField) == 0, std::string(snapshotField) + " is set by nodes only");
    // The CBOR size counts because nodes keep and send records as CBOR.
    check.require(internal::pack(record).size() <= maxRecordBytes,
                  "the record is larger than " + std::to_string(maxRecordBytes) + " bytes");
    return check.take();
}

bool isKnownSchema(const nlohmann::json &record)
{
    return integerOr(record, "schema", 0, oldestSchema, newestSchema) != 0;
}

bool isKnownKind(const nlohmann::json &record)
{
    return valueOf<RecordKind>(record.at("kind").get_ref<const std::string &>()).has_value();
}

std::vector<Failure> validateStored(const nlohmann::json &record)
{
    std::vector<Failure> header = validateHeader(record);
    if (!record.is_object() || !internal::isNestedAtMost(record, maxRecordDepth)) {
        return header;
    }
    if (!internal::hasText(record, "kind") || !internal::hasText(record, "name")) {
        return header;
    }
    internal::RecordCheck check;
    const bool schemaIsNumber = record.count("schema") != 0 && record["schema"].is_number_integer();
    check.require(!schemaIsNumber || isKnownSchema(record), "unknown_schema: schema is not 1 or 2");
    check.require(isKnownKind(record),
                  "unknown_kind: kind is not template, endpoint, model, account, weights or drain");
    if (isKnownKind(record) && isKnownSchema(record) && !isRemoval(record)) {
        const RecordKind kind = *valueOf<RecordKind>(record["kind"].get_ref<const std::string &>());
        internal::checkBody(check, kind, record, record["schema"].get<std::int64_t>());
    }
    const std::vector<Failure> body = check.take();
    header.insert(header.end(), body.begin(), body.end());
    return header;
}

std::vector<Failure> validateRecord(const nlohmann::json &record)
{
    std::vector<Failure> failures = validateStored(record);
    for (const char *field : {"origin", "as_of", "retained"}) {
        if (record.is_object() && record.contains(field)) {
            const std::string detail = std::string(field) + " is set by nodes only";
            failures.push_back(Failure{FailureType::InvalidRequest, true, detail, Duration(0)});
        }
    }
    return failures;
}

} // namespace filbertgw
