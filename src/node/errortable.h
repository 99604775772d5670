#ifndef FILBERTGW_NODE_ERRORTABLE_H
#define FILBERTGW_NODE_ERRORTABLE_H

#include "core/failure.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace filbertgw {

/** \brief HTTP status of a failure type. */
int httpStatusOf(FailureType type);

/**
 * \brief The `{"error": {...}}` object of a failure.
 *
 * `promise` is `not_run` if the request is known to have had no effect, `never_sent_again` if its outcome is unknown,
 * else `none`.
 */
nlohmann::json errorObject(const Failure &failure);

/** \brief Value of the Retry-After header in whole seconds, rounded up; 0 for none. */
std::int64_t retryAfterSeconds(const Failure &failure);

/** \brief Creates a failure; without a detail the default message of its type is used. */
Failure makeFailure(FailureType type, bool notRun, std::string detail = {}, Duration retryAfter = Duration(0));

/** \brief Runs an operation in a LEAF scope. \return its failure, or nothing. */
template<typename Operation>
std::optional<Failure> captureFailure(Operation operation)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(operation());
            return std::optional<Failure>();
        },
        [](const Failure &found) { return std::optional<Failure>(found); },
        [] { return std::optional<Failure>(makeFailure(FailureType::NotRun, false)); });
}

/** \brief Serialises a failure for messages to peers and for records. */
nlohmann::json failureToJson(const Failure &failure);
Failure failureFromJson(const nlohmann::json &json);

/** \brief JSON text; invalid UTF-8 is replaced, so that text from an endpoint can't raise an error. */
std::string jsonText(const nlohmann::json &json);

} // namespace filbertgw

#endif
