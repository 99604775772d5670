#ifndef FILBERTGW_NODE_ERRORTABLE_H
#define FILBERTGW_NODE_ERRORTABLE_H

#include "core/failure.h"

#include <nlohmann/json.hpp>

#include <string>

namespace filbertgw {

/** \brief HTTP status of a failure type, from the one table of errors. */
int httpStatusOf(FailureType type);

/**
 * \brief The `{"error": {...}}` object of a failure.
 *
 * `promise` is `not_run` if the request certainly had no effect, `never_sent_again` for an unknown outcome, else
 * `none`.
 */
nlohmann::json errorObject(const Failure &failure);

/** \brief Value of the Retry-After header in whole seconds, rounded up; 0 for none. */
std::int64_t retryAfterSeconds(const Failure &failure);

/** \brief A failure with the default message of its type. */
Failure makeFailure(FailureType type, bool notRun, std::string detail = {}, Duration retryAfter = Duration(0));

/** \brief A failure as a peer or a record carries it. */
nlohmann::json failureToJson(const Failure &failure);
Failure failureFromJson(const nlohmann::json &json);

/** \brief JSON text; invalid UTF-8 is replaced, so that text from an endpoint can't raise an error. */
std::string jsonText(const nlohmann::json &json);

} // namespace filbertgw

#endif
