/*!
Messages, settings and declarations of cyclamengauge.

The types are generated from the `.proto` files in `schema/` and committed, so
that a build needs no generator. Each type reads and writes JSON in the
standard mapping of Protocol Buffers, with the field names of the schema;
unknown fields are refused.

# Example

```
use cyclamengauge_schema::v1;

let model: v1::Model = serde_json::from_str(r#"{"name": "meadow", "min_engines": 2}"#).unwrap();
assert_eq!(model.min_engines, 2);
assert!(serde_json::from_str::<v1::Model>(r#"{"nmae": "meadow"}"#).is_err());
```

To regenerate after a change of the schema:
`cargo run -p cyclamengauge-schema-gen`.
*/

/// Version 1 of the schema.
#[allow(missing_docs, clippy::all, rustdoc::all)]
pub mod v1 {
    include!("generated/cyclamengauge.v1.rs");
    include!("generated/cyclamengauge.v1.serde.rs");
}
