#pragma once

#include "document/document.h"

#include <ostream>
#include <string>
#include <vector>

/// Shows documents to people.
namespace cyclamenhatch::cli {

/// Rows below a line of column names. A column is a member's key, or a path such as
/// ending.outcome.
void print_rows(std::ostream& out, const std::vector<std::string>& columns,
                const document::array& rows);

/// Plain values first, then a part for each table and each array of tables.
void print_page(std::ostream& out, const document& page);

/// One line of key=value pairs, led by the value of `first`.
void print_line(std::ostream& out, const document& from, const std::string& first);

} // namespace cyclamenhatch::cli
