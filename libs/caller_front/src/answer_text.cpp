#include "answer_text.h"

#include "net.h"

#include <absl/strings/str_cat.h>

#include <boost/beast/http/status.hpp>

namespace ej::front {

namespace {

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

std::string reason_phrase(unsigned status)
{
    const auto phrase = wire::obsolete_reason(static_cast<wire::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace

std::string head_text(const http::response& answer)
{
    std::string text =
        absl::StrCat("HTTP/1.1 ", answer.status, " ", reason_phrase(answer.status), "\r\n");
    for (const http::header& field : answer.headers) {
        absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
    }
    return text;
}

bool has_no_body(unsigned status)
{
    return status == status_no_content || status == status_not_modified;
}

std::string chunk_text(const std::string& part)
{
    return absl::StrCat(absl::Hex(part.size()), "\r\n", part, "\r\n");
}

} // namespace ej::front
