#include "emulator/schema_check.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

namespace {

using Json = nlohmann::json;

// valijson's context ("<root>", "[script]", "[2]") as a JSON pointer.
std::string pointerOf(const std::vector<std::string>& context) {
    std::string pointer;
    for (const std::string& step : context)
        if (step.size() > 2 && step.front() == '[') pointer.append("/").append(step, 1, step.size() - 2);
    return pointer;
}

}  // namespace

// The error that lies deepest says most: those further up only say that something below is wrong.
void checkAgainstSchema(const Json& json) {
    const Json text = Json::parse(scenarioSchema());
    valijson::Schema schema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(text), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(json), &results)) return;
    valijson::ValidationResults::Error error, deepest;
    while (results.popError(error))
        if (error.context.size() > deepest.context.size()) deepest = error;
    throw BadScenario(pointerOf(deepest.context), deepest.description);
}

}  // namespace beechpoint::emulator
