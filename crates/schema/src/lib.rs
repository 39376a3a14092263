/*!
Messages, settings and declarations of cyclamengauge.

The types are generated from the `.proto` files in `schema/`. The generated code
is committed, so a build does not run the generator. Each type implements the
JSON mapping of Protocol Buffers with the field names of the schema; unknown
fields are rejected.

# Example

```
use cyclamengauge_schema::v1;

let model: v1::Model = serde_json::from_str(r#"{"name": "meadow", "min_engines": 2}"#).unwrap();
assert_eq!(model.min_engines, 2);
assert!(serde_json::from_str::<v1::Model>(r#"{"nmae": "meadow"}"#).is_err());
```

After a change of the schema, regenerate the code with
`cargo run -p cyclamengauge-schema-gen`.
*/

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

/// Parses JSON that may contain `//` and `/* */` comments.
///
/// # Errors
///
/// Fails if the text is not valid UTF-8 or JSON, or does not match `T`, for example
/// because of an unknown field.
///
/// # Example
///
/// ```
/// use cyclamengauge_schema::{parse_json, v1};
///
/// let text = b"{\n// Name of the model.\n\"name\": \"meadow\"}";
/// let model: v1::Model = parse_json(text).unwrap();
/// assert_eq!(model.name, "meadow");
/// ```
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    let mut text = String::new();
    StripComments::new(bytes)
        .read_to_string(&mut text)
        .map_err(serde_json::Error::io)?;
    serde_json::from_str(&text)
}

/// Types of the Protocol Buffers package `cyclamengauge.v1`.
#[allow(missing_docs, clippy::all, rustdoc::all)]
pub mod v1 {
    include!("generated/cyclamengauge.v1.rs");
    include!("generated/cyclamengauge.v1.serde.rs");
}
