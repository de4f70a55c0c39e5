#pragma once

#include "document/document.h"

#include <ostream>
#include <string>
#include <vector>

/// Prints documents in a readable form.
namespace cyclamenhatch::cli {

/// Prints rows below a header of column names. A column is a member's key, or a path such as
/// ending.outcome.
void print_rows(std::ostream& out, const std::vector<std::string>& columns,
                const document::array& rows);

/// Prints plain values first, then a titled part for each table and each array of tables.
void print_page(std::ostream& out, const document& page);

/// Prints the value of `lead_key`, then the other members as key=value, on one line.
void print_line(std::ostream& out, const document& row, const std::string& lead_key);

} // namespace cyclamenhatch::cli
