#include "platform/discovery.h"
#include "platform/engineprotocol.h"
#include "platform/ingress.h"
#include "platform/operatorconfig.h"
#include "platform/settingsfile.h"
#include "platform/storeclient.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

namespace filbertgw::platform {

namespace {

const char *const wholeSettings = R"({"node_name":"n1","zone":"z1","ip":"10.0.0.1","unknown":{"a":1},
"listen":{"frontend":"10.0.0.1:1","ready":"10.0.0.1:2"},"port_range":[7380,7395],
"bounds":{"grace_s":6.5,"contact_ms":2500},"platform":{"address":"10.0.0.9:3","parts":4}})";

/** \brief The text of the failure, or nothing if the settings are valid. */
std::string faultsOf(const std::string &text)
{
    std::string faults;
    boost::leaf::try_handle_all(
        [&text]() -> Result<void> {
            BOOST_LEAF_CHECK(parseSettings(text));
            return {};
        },
        [&faults](const Failure &failure) { faults = failure.detail_; },
        [&faults] { faults = "unknown"; });
    return faults;
}

/** \brief The version of a configuration, or 0 if it is rejected. */
std::uint64_t versionOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&text]() -> Result<std::uint64_t> {
            BOOST_LEAF_AUTO(table, decodeConfiguration(text));
            return table->version();
        },
        [] { return std::uint64_t{0}; });
}

HttpRequest clientRequest()
{
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = "/a/b";
    request.headers_ = {{"host", "h.example"},
                        {"x-filbertgw-attempt-id", "id1"},
                        {"x-filbertgw-time-left-ms", "1500"},
                        {"x-filbertgw-program-id", "p1"},
                        {"x-filbertgw-session-id", "s1"},
                        {"x-filbertgw-token-budget", "900"},
                        {"x-filbertgw-token-usage", "1840,572"},
                        {"x-filbertgw-prompt-prefix", "aa:800,bb:410"},
                        {"cookie", "a=1; X-Filbertgw-Affinity-Key=17"},
                        {"connection", "keep-alive"},
                        {"x-other", "kept"}};
    return request;
}

} // namespace

TEST(SettingsFile, UnknownFieldsAreIgnored)
{
    EXPECT_EQ(faultsOf(wholeSettings), "");
}

// Guards against settings whose faults come out one at a time.
TEST(SettingsFile, EveryFaultIsNamed)
{
    const std::string faults = faultsOf(R"({"node_name":7,"ip":"10.0.0.1","platform":{"parts":0}})");
    for (const char *name :
         {"/node_name", "/zone", "/listen/frontend", "/listen/ready", "/platform/address", "/platform/parts"}) {
        EXPECT_NE(faults.find(name), std::string::npos) << name << " is missing in: " << faults;
    }
    EXPECT_NE(faultsOf("[]"), "");
    EXPECT_NE(faultsOf("{"), "");
}

// Guards against bounds of the quota that are ignored, and against settings of a former version that name none.
TEST(SettingsFile, BoundsOfTheQuotaHaveDefaults)
{
    const auto windowOf = [](const std::string &bounds) {
        const std::string text = std::string(wholeSettings)
                                     .replace(std::string(wholeSettings).find("\"grace_s\":6.5"),
                                              std::string("\"grace_s\":6.5").size(),
                                              bounds);
        return boost::leaf::try_handle_all(
            [&text]() -> Result<std::vector<double>> {
                BOOST_LEAF_AUTO(settings, parseSettings(text));
                return std::vector<double>{toSeconds(settings.quotaWindow_), settings.quotaOver_, settings.quotaSlack_};
            },
            [] { return std::vector<double>(); });
    };
    EXPECT_EQ(windowOf("\"grace_s\":6.5"), (std::vector<double>{5.0, 0.1, 20.0}));
    EXPECT_EQ(windowOf("\"quota_window_s\":8,\"quota_over\":0.2,\"quota_slack\":5"),
              (std::vector<double>{8.0, 0.2, 5.0}));
    EXPECT_TRUE(windowOf("\"quota_window_s\":0").empty());
}

namespace {

/** A sound entry in which one field has another value. */
std::string entryWith(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields = {{"service", "\"s\""},
                                                 {"address", "\"1.2.3.4:5\""},
                                                 {"zone", "\"z\""},
                                                 {"version", "\"v1\""},
                                                 {"slots", "6"},
                                                 {"state", "\"ready\""},
                                                 {"sequence", "4"},
                                                 {"born", "17"}};
    fields[field] = value;
    std::string entry = "{";
    for (const std::pair<const std::string, std::string> &each : fields) {
        entry += (entry.size() > 1 ? "," : "") + ('"' + each.first + "\":" + each.second);
    }
    return entry + '}';
}

std::string nested(std::size_t depth, bool isClosed)
{
    return std::string(depth, '[') + (isClosed ? std::string(depth, ']') : std::string());
}

} // namespace

/** \brief An odd value in a registry entry, or an odd entry, of another writer. */
struct OddEntryCase
{
    const char *name_;
    std::string entry_;
    bool isEndpoint_ = false;
    std::string id_ = "i-1";
};

class OddEntry : public testing::TestWithParam<OddEntryCase>
{
};

// Guards against an entry of another writer that ends the node, draws all requests to one endpoint, or is tried for
// ever.
TEST_P(OddEntry, NamesNoEndpoint)
{
    EXPECT_EQ(decodeEndpoint(GetParam().id_, GetParam().entry_).has_value(), GetParam().isEndpoint_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OddEntry,
    testing::Values(OddEntryCase{"Sound", entryWith("slots", "6"), true},
                    OddEntryCase{"NestedOpen", nested(260'000, false)},
                    OddEntryCase{"NestedClosed", nested(130'000, true)},
                    OddEntryCase{"NestedObjects", entryWith("other", std::string(50'000, '{'))},
                    OddEntryCase{"NestedInAnUnusedField", entryWith("other", nested(100'000, true)), true},
                    OddEntryCase{"NestedInAUsedField", entryWith("slots", nested(100'000, true))},
                    OddEntryCase{"NumberBeyondADouble", entryWith("slots", "1e400")},
                    OddEntryCase{"NumberOfFortyDigits", entryWith("slots", "1" + std::string(40, '0'))},
                    OddEntryCase{"SlotsThatWrapToZero", entryWith("slots", "4294967296")},
                    OddEntryCase{"NoSlots", entryWith("slots", "0")},
                    OddEntryCase{"NegativeSlots", entryWith("slots", "-6")},
                    OddEntryCase{"AbsurdSlots", entryWith("slots", "4000000000")},
                    OddEntryCase{"SequenceOfFortyDigits", entryWith("sequence", "1" + std::string(40, '0'))},
                    OddEntryCase{"BornBeyondADouble", entryWith("born", "1e400")},
                    OddEntryCase{"PortTooLarge", entryWith("address", "\"1.2.3.4:70000\"")},
                    OddEntryCase{"PortOfTwentyDigits", entryWith("address", "\"1.2.3.4:12345678901234567890\"")},
                    OddEntryCase{"NegativePort", entryWith("address", "\"1.2.3.4:-1\"")},
                    OddEntryCase{"PortZero", entryWith("address", "\"1.2.3.4:0\"")},
                    OddEntryCase{"NameForAnAddress", entryWith("address", "\"host.example:80\"")},
                    OddEntryCase{"AddressOfFiveParts", entryWith("address", "\"1.2.3.4.5:80\"")},
                    OddEntryCase{"TextThatIsNoText", entryWith("service", "\"\xff\xfe\"")},
                    OddEntryCase{"IdWithALineEnd", entryWith("slots", "6"), false, "i-1\r\nx: y"},
                    OddEntryCase{"IdThatIsNoText", entryWith("slots", "6"), false, "\xff\xfe"},
                    OddEntryCase{"NoId", entryWith("slots", "6"), false, ""}),
    [](const testing::TestParamInfo<OddEntryCase> &info) { return info.param.name_; });

/** \brief A registry entry and whether it names an endpoint. */
struct EntryCase
{
    const char *name_;
    const char *entry_;
    bool isEndpoint_;
};

class RegistryEntry : public testing::TestWithParam<EntryCase>
{
};

// Guards against forged or torn entries that are taken for endpoints.
TEST_P(RegistryEntry, IsTakenOnlyIfWhole)
{
    EXPECT_EQ(decodeEndpoint("i-1", GetParam().entry_).has_value(), GetParam().isEndpoint_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RegistryEntry,
    testing::Values(
        EntryCase{
            "Whole",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":6,"state":"ready","sequence":4,"born":17})",
            true},
        EntryCase{
            "Draining",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":6,"state":"draining","sequence":4})",
            true},
        EntryCase{
            "UnknownState",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":6,"state":"odd","sequence":4})",
            false},
        EntryCase{
            "NoAddress", R"({"service":"s","zone":"z","version":"v1","slots":6,"state":"ready","sequence":4})", false},
        EntryCase{
            "BadAddress",
            R"({"service":"s","address":"nowhere","zone":"z","version":"v1","slots":6,"state":"ready","sequence":4})",
            false},
        EntryCase{
            "SlotsOfAnotherType",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":"6","state":"ready","sequence":4})",
            false},
        EntryCase{
            "BornOfAnotherType",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":6,"state":"ready","sequence":4,"born":1.5})",
            false},
        EntryCase{"NoVersion",
                  R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":6,"state":"ready","sequence":4})",
                  false},
        EntryCase{
            "VersionOfAnotherType",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":1,"slots":6,"state":"ready","sequence":4})",
            false},
        EntryCase{"Torn", R"({"service":"s","addre)", false},
        EntryCase{"NotAnObject", "7", false},
        EntryCase{"Bytes", "\x01\xff\xfe", false}),
    [](const testing::TestParamInfo<EntryCase> &info) { return info.param.name_; });

TEST(OperatorConfig, RoutesAndServicesAreDecoded)
{
    const std::string text = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","type":"streaming",
"timeout_ms":3000,"max_attempts":2,"retain":true,"retain_s":60.0,"resumable":false,"priority":1,"traffic_split":
[{"service":"s","weight":90},{"service":"t","weight":10}]}],"services":[{"name":"s","max_conns":170,"engine":
{"slots":16,"tokens_per_event":22}}],"limits":{}})";
    boost::leaf::try_handle_all(
        [&text]() -> Result<void> {
            BOOST_LEAF_AUTO(table, decodeConfiguration(text));
            const Route *route = table->find("h", "/a/b");
            EXPECT_NE(route, nullptr);
            EXPECT_EQ(route->kind_, RouteKind::Streaming);
            EXPECT_EQ(route->targets_.size(), 2U);
            EXPECT_TRUE(route->retainsTurns_);
            EXPECT_EQ(route->retention_, Duration(std::chrono::seconds(60)));
            EXPECT_EQ(table->service("s")->engine_->tokensPerEvent_, 22U);
            EXPECT_EQ(table->find("h", "/b/"), nullptr);
            return {};
        },
        [] { ADD_FAILURE() << "the configuration was rejected"; });
}

// Guards against a torn configuration that stops the process or takes effect in part.
TEST(OperatorConfig, BrokenOnesAreRejected)
{
    EXPECT_EQ(versionOf("{"), 0U);
    EXPECT_EQ(versionOf(R"({"version":7})"), 0U);
    EXPECT_EQ(versionOf(R"({"version":7,"routes":[{"host":"h"}],"services":[]})"), 0U);
    EXPECT_EQ(versionOf(R"({"version":"x","routes":[],"services":[]})"), 0U);
    EXPECT_EQ(versionOf(R"({"version":7,"routes":[],"services":[]})"), 7U);
}

namespace {

/** A sound configuration with one account, in which one text is replaced. */
std::string configurationWith(const std::string &text, const std::string &replacement)
{
    std::string configuration = R"({"version":7,"routes":[{"host":"h","path_prefix":"/a/","service":"s",)"
                                R"("timeout_ms":3000,"max_attempts":2,"priority":1,"no_auth":false}],)"
                                R"("services":[{"name":"s","max_conns":170,"engine":{"slots":16}}],)"
                                R"("tenants":[{"name":"a","api_keys":["sEcReT"],"priority":2,)"
                                R"("rate_per_s":5.5,"burst":10}]})";
    const std::size_t at = configuration.find(text);
    EXPECT_NE(at, std::string::npos) << text;
    return configuration.replace(at, text.size(), replacement);
}

/** \brief The text of the failure, or nothing if the configuration is valid. */
std::string configurationFault(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&text]() -> Result<std::string> {
            BOOST_LEAF_CHECK(decodeConfiguration(text));
            return std::string();
        },
        [](const Failure &failure) { return failure.detail_; },
        [] { return std::string("another failure"); });
}

} // namespace

/** \brief A value of a configuration, and the fault that is named; none if it is valid. */
struct ConfigurationValue
{
    const char *name_;
    const char *text_;
    std::string replacement_;
    const char *fault_;
};

class ConfigurationCheck : public testing::TestWithParam<ConfigurationValue>
{
};

// Guards against a number that wraps to another one, a text that counts as a list, and a rejection that does not name
// the field or quotes a key.
TEST_P(ConfigurationCheck, NamesTheFieldAndNoKey)
{
    const std::string fault = configurationFault(configurationWith(GetParam().text_, GetParam().replacement_));
    if (*GetParam().fault_ == 0) {
        EXPECT_EQ(fault, "");
    } else {
        EXPECT_NE(fault.find(GetParam().fault_), std::string::npos) << fault;
    }
    EXPECT_EQ(fault.find("sEcReT"), std::string::npos) << fault;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ConfigurationCheck,
    testing::Values(
        ConfigurationValue{"Sound", "7", "8", ""},
        ConfigurationValue{"NoLimit", "5.5", "0", ""},
        ConfigurationValue{"NoAccounts",
                           "[{\"name\":\"a\",\"api_keys\":[\"sEcReT\"],\"priority\":2,"
                           "\"rate_per_s\":5.5,\"burst\":10}]",
                           "null",
                           ""},
        ConfigurationValue{"LastKeyRemoved", "[\"sEcReT\"]", "[]", ""},
        ConfigurationValue{"WholeNumberWithAPoint", "\"max_attempts\":2", "\"max_attempts\":2.0", ""},
        ConfigurationValue{"NegativeVersion", "7", "-7", "/version must be"},
        ConfigurationValue{"NoVersion", "\"version\":7,", "", "/version is missing"},
        ConfigurationValue{"NegativePriority", "\"priority\":2", "\"priority\":-1", "/tenants/0/priority must be"},
        ConfigurationValue{
            "PriorityThatWraps", "\"priority\":2", "\"priority\":4294967296", "/tenants/0/priority must be"},
        ConfigurationValue{"BrokenPriority", "\"priority\":2", "\"priority\":0.5", "/tenants/0/priority must be"},
        ConfigurationValue{"NegativeRate", "5.5", "-5.5", "/tenants/0/rate_per_s must be"},
        ConfigurationValue{"HugeRate", "5.5", "1e300", "/tenants/0/rate_per_s must be"},
        ConfigurationValue{"RateBeyondADouble", "5.5", "1e400", "can't be read"},
        ConfigurationValue{"RateAsText", "5.5", "\"5.5\"", "/tenants/0/rate_per_s must be"},
        ConfigurationValue{"NegativeBurst", "\"burst\":10", "\"burst\":-10", "/tenants/0/burst must be"},
        ConfigurationValue{"KeysAsText", "[\"sEcReT\"]", "\"sEcReT\"", "/tenants/0/api_keys must be a list"},
        ConfigurationValue{"KeyAsNumber", "[\"sEcReT\"]", "[\"sEcReT\",7]", "/tenants/0/api_keys must be"},
        ConfigurationValue{"AccountAsText", "[{\"name\":\"a\"", "[\"sEcReT\",{\"name\":\"a\"", "/tenants/0 must be"},
        ConfigurationValue{"AccountsAsObject",
                           "[{\"name\":\"a\",\"api_keys\":[\"sEcReT\"],\"priority\":2,"
                           "\"rate_per_s\":5.5,\"burst\":10}]",
                           "{\"a\":\"sEcReT\"}",
                           "/tenants must be a list"},
        ConfigurationValue{"EmptyAccounts",
                           "[{\"name\":\"a\",\"api_keys\":[\"sEcReT\"],\"priority\":2,"
                           "\"rate_per_s\":5.5,\"burst\":10}]",
                           "[]",
                           "/tenants must not be an empty list"},
        ConfigurationValue{"NameAsNumber", "\"name\":\"a\"", "\"name\":7", "/tenants/0/name must be a text"},
        ConfigurationValue{"NegativeAttempts", "\"max_attempts\":2", "\"max_attempts\":-2", "/routes/0/max_attempts"},
        ConfigurationValue{"HugeTimeout", "3000", "1e200", "/routes/0/timeout_ms must be"},
        ConfigurationValue{"OpenAsNumber", "\"no_auth\":false", "\"no_auth\":1", "/routes/0/no_auth must be"},
        ConfigurationValue{"SlotsThatWrap", "\"slots\":16", "\"slots\":4294967297", "/services/0/engine/slots"},
        ConfigurationValue{"TornAtAKey", "sEcReT\"],", "sEcReT", "no valid JSON at byte"}),
    [](const testing::TestParamInfo<ConfigurationValue> &info) { return info.param.name_; });

namespace {

/** \brief A client's request with a key, and with headers that only the system may set. */
GatewayRequest requestWithKey()
{
    HttpRequest request = clientRequest();
    request.headers_["api-key"] = "sEcReT";
    request.headers_["x-filbertgw-tenant"] = "made-up";
    request.headers_["x-filbertgw-peer-account"] = "made-up";
    return decodeRequest(request).value();
}

using SentHeaders = std::map<std::string, std::string>;

SentHeaders headersForEndpoint(const GatewayRequest &request)
{
    EndpointAttempt attempt;
    attempt.request_ = std::make_shared<GatewayRequest>(request);
    attempt.body_ = std::make_shared<std::string>();
    return encodeAttempt(attempt, AttemptHandlers()).request_.headers_;
}

SentHeaders headersForPeer(const GatewayRequest &request)
{
    ForwardedRequest forwarded;
    forwarded.request_ = std::make_shared<GatewayRequest>(request);
    return encodeForward(forwarded, "10.0.0.2:1", AttemptHandlers()).request_.headers_;
}

std::string headerOf(const SentHeaders &headers, const char *name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? "(none)" : found->second;
}

} // namespace

// Guards against a key that leaves the node, and an account that the client has made up.
TEST(Ingress, KeysAndAccountsAreNotPassedOn)
{
    GatewayRequest request = requestWithKey();
    EXPECT_EQ(request.apiKey_, "sEcReT");
    request.hasAccounts_ = true;
    for (const char *account : {"a", ""}) {
        request.account_ = account;
        for (const SentHeaders &headers : {headersForEndpoint(request), headersForPeer(request)}) {
            EXPECT_EQ(headerOf(headers, "api-key"), "(none)");
            EXPECT_EQ(headerOf(headers, "x-filbertgw-tenant"), *account == 0 ? "(none)" : account);
        }
        EXPECT_EQ(headerOf(headersForEndpoint(request), "x-filbertgw-peer-account"), "(none)");
        EXPECT_EQ(headerOf(headersForPeer(request), "x-filbertgw-peer-account"), account);
    }
}

// Guards against headers that a deployment without accounts no longer passes on.
TEST(Ingress, KeyAndAccountHeadersMeanNothingWithoutAccounts)
{
    const GatewayRequest request = requestWithKey();
    EXPECT_EQ(headerOf(headersForEndpoint(request), "api-key"), "sEcReT");
    EXPECT_EQ(headerOf(headersForEndpoint(request), "x-filbertgw-tenant"), "made-up");
    EXPECT_EQ(headerOf(headersForPeer(request), "x-filbertgw-peer-account"), "(none)");
}

TEST(Ingress, RequestIsDecoded)
{
    const std::optional<GatewayRequest> request = decodeRequest(clientRequest());
    ASSERT_TRUE(request);
    EXPECT_EQ(request->id_, "id1");
    EXPECT_EQ(request->timeLeft_, Duration(std::chrono::milliseconds(1500)));
    EXPECT_EQ(request->tokenBudget_, 900U);
    EXPECT_EQ(request->promptTokens_, 1840U);
    EXPECT_EQ(request->maxOutputTokens_, 572U);
    EXPECT_EQ(request->affinityKey_, "17");
    ASSERT_EQ(request->prompt_.size(), 2U);
    EXPECT_EQ(request->prompt_[1].id_, "bb");
    EXPECT_EQ(request->program_, "p1");
    EXPECT_EQ(request->headers_.count("x-other"), 1U);
    EXPECT_EQ(request->headers_.count("connection"), 0U);
}

TEST(Ingress, RequestThatTakesAStreamUpIsDecoded)
{
    HttpRequest request = clientRequest();
    request.headers_["last-event-id"] = "12";
    request.headers_["resumes"] = "id0";
    const std::optional<GatewayRequest> decoded = decodeRequest(request);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->lastEventId_, "12");
    EXPECT_EQ(decoded->resumes_, "id0");
}

class SystemHeader : public testing::TestWithParam<const char *>
{
};

// Guards against headers that only the system may set and that a client sends.
TEST_P(SystemHeader, IsNotPassedOn)
{
    HttpRequest request = clientRequest();
    request.headers_[GetParam()] = "1";
    const std::optional<GatewayRequest> decoded = decodeRequest(request);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->headers_.count(GetParam()), 0U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SystemHeader,
                         testing::Values("x-filbertgw-hold",
                                         "x-filbertgw-pin-ms",
                                         "x-filbertgw-kv-backup",
                                         "kv-from",
                                         "kv-fetch",
                                         "x-filbertgw-expect-instance",
                                         "x-filbertgw-request-priority",
                                         "x-filbertgw-response-stamp"));

class AmbiguousHeader : public testing::TestWithParam<const char *>
{
};

// Guards against a request that is read differently here and behind.
TEST_P(AmbiguousHeader, IsRejected)
{
    HttpRequest request = clientRequest();
    request.headers_[GetParam()] = "a, b";
    EXPECT_FALSE(decodeRequest(request));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AmbiguousHeader,
    testing::Values("host", "x-filbertgw-attempt-id", "x-filbertgw-program-id", "x-filbertgw-previous-turn"));

// Guards against ids that do not fit into the store's keys.
TEST(Ingress, IdThatIsNoTextIsRejected)
{
    for (const char *name :
         {"x-filbertgw-attempt-id", "x-filbertgw-program-id", "x-filbertgw-previous-turn", "resumes"}) {
        HttpRequest request;
        request.method_ = "POST";
        request.target_ = "/turns/x";
        request.headers_[name] = "\xff\xfe";
        EXPECT_FALSE(decodeRequest(request)) << name;
    }
}

// Guards against an id that does not fit into a key of the store.
TEST(Ingress, LongIdIsRejected)
{
    HttpRequest request = clientRequest();
    request.headers_["x-filbertgw-program-id"] = std::string(500, 'p');
    EXPECT_FALSE(decodeRequest(request));
}

// Guards against a request that changes, or gets more time, on its way through another node.
TEST(EngineProtocol, ForwardedRequestKeepsWhatTheClientSent)
{
    HttpRequest client = clientRequest();
    client.headers_["resumes"] = "id0";
    client.headers_["last-event-id"] = "12";
    client.body_ = "the body";
    ForwardedRequest forwarded;
    forwarded.request_ = std::make_shared<const GatewayRequest>(*decodeRequest(client));
    forwarded.timeLeft_ = std::chrono::milliseconds(700);
    const HttpCall call = encodeForward(forwarded, "10.0.0.1:9", AttemptHandlers());
    EXPECT_EQ(call.address_, "10.0.0.1:9");
    const std::optional<GatewayRequest> decoded = decodeRequest(call.request_);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->id_, "id1");
    EXPECT_EQ(decoded->target_, client.target_);
    ASSERT_TRUE(call.body_);
    EXPECT_EQ(*call.body_, "the body");
    EXPECT_EQ(decoded->timeLeft_, forwarded.timeLeft_);
    EXPECT_EQ(decoded->tokenBudget_, 900U);
    EXPECT_EQ(decoded->resumes_, "id0");
    EXPECT_EQ(decoded->lastEventId_, "12");
    EXPECT_EQ(decoded->headers_.at("x-other"), client.headers_.at("x-other"));
}

/** \brief Headers of an answer and what they say. */
struct HeadCase
{
    const char *name_;
    int status_;
    std::map<std::string, std::string> headers_;
    bool fromEndpoint_;
    bool notRun_;
    bool isLeaving_ = false;
    bool wrongInstance_ = false;
};

class AnswerHead : public testing::TestWithParam<HeadCase>
{
};

// Guards against answers without the endpoint's signature, or of another request, that reach a client or are taken for
// the promise that the request has not run.
TEST_P(AnswerHead, IsJudgedByItsHeaders)
{
    const AttemptHead head = decodeHead(HttpHead{GetParam().status_, GetParam().headers_}, "id1");
    EXPECT_EQ(head.fromEndpoint_, GetParam().fromEndpoint_);
    EXPECT_EQ(head.notRun_, GetParam().notRun_);
    EXPECT_EQ(head.isLeaving_, GetParam().isLeaving_);
    EXPECT_EQ(head.wrongInstance_, GetParam().wrongInstance_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AnswerHead,
    testing::Values(
        HeadCase{"Signed", 200, {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-response-stamp", "s"}}, true, false},
        HeadCase{"Unsigned", 200, {{"x-filbertgw-attempt-id", "id1"}}, false, false},
        HeadCase{"OfAnotherRequest",
                 200,
                 {{"x-filbertgw-attempt-id", "id2"}, {"x-filbertgw-response-stamp", "s"}},
                 false,
                 false},
        HeadCase{"Encoded",
                 200,
                 {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-response-stamp", "s"}, {"content-encoding", "gzip"}},
                 false,
                 false},
        HeadCase{"NotRun", 503, {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-not-executed", "1"}}, false, true},
        HeadCase{
            "NotRunWithASuccess",
            200,
            {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-response-stamp", "s"}, {"x-filbertgw-not-executed", "1"}},
            false,
            false},
        HeadCase{
            "NotRunWithAFailureOfARun",
            504,
            {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-response-stamp", "s"}, {"x-filbertgw-not-executed", "1"}},
            false,
            false},
        HeadCase{"NotRunWithoutAnId", 503, {{"x-filbertgw-not-executed", "1"}}, false, false},
        HeadCase{"NotRunOfAnotherRequest",
                 503,
                 {{"x-filbertgw-attempt-id", "id2"}, {"x-filbertgw-not-executed", "1"}},
                 false,
                 false},
        HeadCase{"WrongInstance", 421, {{"x-filbertgw-attempt-id", "id1"}}, false, false, false, true},
        HeadCase{"WrongInstanceWithoutAnId", 421, {}, false, false},
        HeadCase{"Leaving", 200, {{"server-leaving", "1"}}, false, false, true},
        HeadCase{"LeavingWithARefusal",
                 503,
                 {{"x-filbertgw-attempt-id", "id1"}, {"x-filbertgw-not-executed", "1"}, {"server-leaving", "1"}},
                 false,
                 true,
                 true},
        HeadCase{"Staying", 200, {{"server-leaving", "0"}}, false, false},
        HeadCase{"EmptyLeaving", 200, {{"server-leaving", ""}}, false, false}),
    [](const testing::TestParamInfo<HeadCase> &info) { return info.param.name_; });

/** \brief A limit as an endpoint names it, and what is understood. */
struct LimitHeaderCase
{
    const char *name_;
    const char *value_; ///< Null without the header.
    LimitStatement limit_;
    double requestsPerSecond_;
};

class LimitHeader : public testing::TestWithParam<LimitHeaderCase>
{
};

// Guards against a limit that is misread, or that seems to end because its value can't be read.
TEST_P(LimitHeader, IsReadAsADecimalNumber)
{
    HttpHead head{200, {}};
    if (GetParam().value_ != nullptr) {
        head.headers_["server-limit"] = GetParam().value_;
    }
    const AttemptHead decoded = decodeHead(head, "id1");
    EXPECT_EQ(decoded.limit_, GetParam().limit_);
    EXPECT_EQ(decoded.requestsPerSecond_, GetParam().requestsPerSecond_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LimitHeader,
                         testing::Values(LimitHeaderCase{"Absent", nullptr, LimitStatement::None, 0.0},
                                         LimitHeaderCase{"Whole", "12", LimitStatement::Named, 12.0},
                                         LimitHeaderCase{"Fraction", "3.25", LimitStatement::Named, 3.25},
                                         LimitHeaderCase{"Zero", "0", LimitStatement::Named, 0.0},
                                         LimitHeaderCase{"Empty", "", LimitStatement::Unreadable, 0.0},
                                         LimitHeaderCase{"Negative", "-1", LimitStatement::Unreadable, 0.0},
                                         LimitHeaderCase{"Infinite", "inf", LimitStatement::Unreadable, 0.0},
                                         LimitHeaderCase{"NotANumber", "nan", LimitStatement::Unreadable, 0.0},
                                         LimitHeaderCase{"TwoValues", "3, 4", LimitStatement::Unreadable, 0.0},
                                         LimitHeaderCase{"Word", "3 requests", LimitStatement::Unreadable, 0.0}),
                         [](const testing::TestParamInfo<LimitHeaderCase> &info) { return info.param.name_; });

// Guards against an attempt that names no instance or more time than is left.
TEST(EngineProtocol, AttemptCarriesInstanceTimeAndUrgency)
{
    EndpointAttempt attempt;
    attempt.address_ = "1.2.3.4:5";
    attempt.endpoint_ = "i-1";
    attempt.request_ = std::make_shared<const GatewayRequest>(*decodeRequest(clientRequest()));
    attempt.body_ = std::make_shared<const std::string>("body");
    attempt.timeLeft_ = std::chrono::milliseconds(700);
    attempt.urgency_ = 4;
    attempt.lastEventId_ = "12";
    const HttpCall call = encodeAttempt(attempt, AttemptHandlers());
    EXPECT_EQ(call.request_.headers_.at("x-filbertgw-expect-instance"), "i-1");
    EXPECT_EQ(call.request_.headers_.at("x-filbertgw-time-left-ms"), "700");
    EXPECT_EQ(call.request_.headers_.at("x-filbertgw-request-priority"), "4");
    EXPECT_EQ(call.request_.headers_.at("last-event-id"), "12");
    EXPECT_EQ(*call.body_, "body");
    EXPECT_EQ(call.body_, attempt.body_) << "not copied";
    EXPECT_EQ(call.echoValue_, "id1");
}

// Guards against records that are cut or shifted on their way to and from the store.
TEST(StoreClient, RecordsKeepTheirBytes)
{
    const std::vector<KeyedRecord> records{{"k1", std::string("a\0b", 3)}, {"k2", std::nullopt}, {"k3", ""}};
    const std::string body = std::string(7, '\0') + '\x09' + std::string(8, '\0') + encodeRecords(records);
    const StorePage page = decodeRecords(body, 6);
    ASSERT_EQ(page.status_, StoreStatus::Ok);
    ASSERT_EQ(page.records_.size(), 3U);
    EXPECT_EQ(page.end_, 9U);
    EXPECT_EQ(page.records_[0].key_, "k1");
    EXPECT_EQ(page.records_[0].value_, std::string("a\0b", 3));
    EXPECT_EQ(page.records_[0].offset_, 6U);
    EXPECT_FALSE(page.records_[1].value_);
    EXPECT_EQ(decodeRecords(body.substr(0, body.size() - 2), 6).records_.size(), 2U) << "a torn record ends the page";
    EXPECT_EQ(decodeRecords("short", 0).status_, StoreStatus::Unknown);
}

/** \brief Answers to the question which prompt parts an engine keeps. */
struct CacheListCase
{
    const char *name_;
    const char *body_;
    std::size_t parts_;
};

class CacheListAnswer : public testing::TestWithParam<CacheListCase>
{
};

// Guards against an engine's malformed answer that ends the node, or that is taken for a part.
TEST_P(CacheListAnswer, GivesItsParts)
{
    const std::vector<PromptPart> parts = decodeCacheList(GetParam().body_);
    ASSERT_EQ(parts.size(), GetParam().parts_);
    if (!parts.empty()) {
        EXPECT_EQ(parts.front().id_, "ab12");
        EXPECT_EQ(parts.front().tokens_, 640U);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CacheListAnswer,
    testing::Values(
        CacheListCase{"Whole", R"({"epoch":1,"next":9,"held":[["","ab12",640,"m"],["","cd34",16,"m"]]})", 2},
        CacheListCase{"BadEntries", R"({"held":[["","ab12",640,"m"],["","x",-3,"m"],["x"],7,["",5,5,"m"]]})", 1},
        CacheListCase{"Empty", R"({"epoch":1,"next":0,"held":[]})", 0},
        CacheListCase{"NoList", R"({"held":{}})", 0},
        CacheListCase{"Torn", R"({"held":[["","ab12")", 0},
        CacheListCase{"NoJson", "\xff\x00", 0}),
    [](const testing::TestParamInfo<CacheListCase> &info) { return info.param.name_; });

} // namespace filbertgw::platform
