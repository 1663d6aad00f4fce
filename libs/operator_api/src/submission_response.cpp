#include "submission_response.h"

#include "encode_status.h"

#include <array>
#include <string_view>

namespace ej::operator_api {

namespace {

struct outcome_status {
    unsigned status;
    std::string_view name;
};

// In the order of config::submission_outcome.
constexpr std::array<outcome_status, 6> outcomes{{{200, "accepted"},
                                                  {409, "conflict"},
                                                  {422, "invalid"},
                                                  {503, "platform_behind"},
                                                  {503, "unavailable"},
                                                  {504, "unknown"}}};

} // namespace

operator_response submission_response(const config::submission_result& result)
{
    const outcome_status& row = outcomes.at(static_cast<std::size_t>(result.outcome));
    if (result.outcome == config::submission_outcome::accepted) {
        return {row.status, encode_revision(result.revision)};
    }
    return {row.status, encode_error(std::string(row.name), result.revision, result.faults)};
}

} // namespace ej::operator_api
