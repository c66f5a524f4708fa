#include "bills.h"

#include "blocking_client.h"
#include "exit_codes.h"
#include "savory/core/billing.h"

#include <iomanip>
#include <sstream>

namespace savory {

using nlohmann::json;

namespace {

json
MakeTotalJson(const std::string& aCustomer, const CustomerTotal& aTotal)
{
  return { { "customer", aCustomer },
           { "requests", aTotal.mRequests },
           { "steps", aTotal.mSteps },
           { "input_tokens", aTotal.mInputTokens },
           { "output_tokens", aTotal.mOutputTokens },
           { "cost_micros", aTotal.mCost },
           { "run_cost_micros", aTotal.mRunCost } };
}

std::string
FormatTotalLine(const std::string& aCustomer, const CustomerTotal& aTotal)
{
  std::ostringstream line;
  line << std::left << std::setw(24) << aCustomer << std::right << std::setw(9)
       << aTotal.mRequests << std::setw(8) << aTotal.mSteps << std::setw(13)
       << aTotal.mInputTokens << std::setw(14) << aTotal.mOutputTokens
       << std::setw(14) << aTotal.mCost << std::setw(14) << aTotal.mRunCost
       << "\n";
  return line.str();
}

} // namespace

CommandResult
BillsCommand(const CtlSettings& aSettings)
{
  // 1. Read all batches.
  BlockingClient client(aSettings);
  CommandResult result;
  auto entries = client.ReadPrefix("bill/");
  if (!entries) {
    std::string reason =
      "the store does not answer: " + entries.error().mReason;
    result.mExitCode = kExitUnreachable;
    result.mText = reason + "\n";
    result.mJson = { { "outcome", "failed" }, { "reasons", { reason } } };
    return result;
  }

  // 2. Settle the union of the batches.
  Settlement settlement;
  json damaged = json::array();
  for (const auto& entry : *entries) {
    auto batch = ParseBillBatch(entry.mValue);
    if (batch) {
      Settle(settlement, *batch);
    } else {
      result.mExitCode = kExitCorrupt;
      damaged.push_back(entry.mKey + ": " + batch.error().mReason);
    }
  }

  // 3. Report the totals; costs are in millionths of the currency unit.
  std::ostringstream title;
  title << std::left << std::setw(24) << "customer" << std::right
        << std::setw(9) << "requests" << std::setw(8) << "steps"
        << std::setw(13) << "input tokens" << std::setw(14) << "output tokens"
        << std::setw(14) << "cost, micros" << std::setw(14) << "run cost"
        << "\n";
  result.mText = title.str();
  json customers = json::array();
  for (const auto& [customer, total] : TotalsByCustomer(settlement)) {
    if (aSettings.mCustomerFilter.empty() ||
        aSettings.mCustomerFilter == customer) {
      customers.push_back(MakeTotalJson(customer, total));
      result.mText += FormatTotalLine(customer, total);
    }
  }
  for (const auto& error : damaged) {
    result.mText += error.get<std::string>() + "\n";
  }
  result.mJson = { { "customers", std::move(customers) },
                   { "batches", entries->size() },
                   { "damaged", std::move(damaged) } };
  return result;
}

} // namespace savory
