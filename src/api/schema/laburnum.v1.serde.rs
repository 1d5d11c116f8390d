impl serde::Serialize for Amount {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.cpu_millis != 0 {
            len += 1;
        }
        if self.memory_mib != 0 {
            len += 1;
        }
        if self.accelerators != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.Amount", len)?;
        if self.cpu_millis != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("cpuMillis", ToString::to_string(&self.cpu_millis).as_str())?;
        }
        if self.memory_mib != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("memoryMib", ToString::to_string(&self.memory_mib).as_str())?;
        }
        if self.accelerators != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("accelerators", ToString::to_string(&self.accelerators).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Amount {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "cpu_millis",
            "cpuMillis",
            "memory_mib",
            "memoryMib",
            "accelerators",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            CpuMillis,
            MemoryMib,
            Accelerators,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "cpuMillis" | "cpu_millis" => Ok(GeneratedField::CpuMillis),
                            "memoryMib" | "memory_mib" => Ok(GeneratedField::MemoryMib),
                            "accelerators" => Ok(GeneratedField::Accelerators),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Amount;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.Amount")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Amount, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut cpu_millis__ = None;
                let mut memory_mib__ = None;
                let mut accelerators__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::CpuMillis => {
                            if cpu_millis__.is_some() {
                                return Err(serde::de::Error::duplicate_field("cpuMillis"));
                            }
                            cpu_millis__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MemoryMib => {
                            if memory_mib__.is_some() {
                                return Err(serde::de::Error::duplicate_field("memoryMib"));
                            }
                            memory_mib__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Accelerators => {
                            if accelerators__.is_some() {
                                return Err(serde::de::Error::duplicate_field("accelerators"));
                            }
                            accelerators__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Amount {
                    cpu_millis: cpu_millis__.unwrap_or_default(),
                    memory_mib: memory_mib__.unwrap_or_default(),
                    accelerators: accelerators__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.Amount", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CallRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.service.is_empty() {
            len += 1;
        }
        if !self.method.is_empty() {
            len += 1;
        }
        if !self.body.is_empty() {
            len += 1;
        }
        if !self.key.is_empty() {
            len += 1;
        }
        if self.idempotent {
            len += 1;
        }
        if self.timeout_ms != 0 {
            len += 1;
        }
        if self.priority != 0 {
            len += 1;
        }
        if !self.caller.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.CallRequest", len)?;
        if !self.service.is_empty() {
            struct_ser.serialize_field("service", &self.service)?;
        }
        if !self.method.is_empty() {
            struct_ser.serialize_field("method", &self.method)?;
        }
        if !self.body.is_empty() {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("body", pbjson::private::base64::encode(&self.body).as_str())?;
        }
        if !self.key.is_empty() {
            struct_ser.serialize_field("key", &self.key)?;
        }
        if self.idempotent {
            struct_ser.serialize_field("idempotent", &self.idempotent)?;
        }
        if self.timeout_ms != 0 {
            struct_ser.serialize_field("timeoutMs", &self.timeout_ms)?;
        }
        if self.priority != 0 {
            let v = Priority::try_from(self.priority)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.priority)))?;
            struct_ser.serialize_field("priority", &v)?;
        }
        if !self.caller.is_empty() {
            struct_ser.serialize_field("caller", &self.caller)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CallRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "service",
            "method",
            "body",
            "key",
            "idempotent",
            "timeout_ms",
            "timeoutMs",
            "priority",
            "caller",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Service,
            Method,
            Body,
            Key,
            Idempotent,
            TimeoutMs,
            Priority,
            Caller,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "service" => Ok(GeneratedField::Service),
                            "method" => Ok(GeneratedField::Method),
                            "body" => Ok(GeneratedField::Body),
                            "key" => Ok(GeneratedField::Key),
                            "idempotent" => Ok(GeneratedField::Idempotent),
                            "timeoutMs" | "timeout_ms" => Ok(GeneratedField::TimeoutMs),
                            "priority" => Ok(GeneratedField::Priority),
                            "caller" => Ok(GeneratedField::Caller),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CallRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.CallRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CallRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut service__ = None;
                let mut method__ = None;
                let mut body__ = None;
                let mut key__ = None;
                let mut idempotent__ = None;
                let mut timeout_ms__ = None;
                let mut priority__ = None;
                let mut caller__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Service => {
                            if service__.is_some() {
                                return Err(serde::de::Error::duplicate_field("service"));
                            }
                            service__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Method => {
                            if method__.is_some() {
                                return Err(serde::de::Error::duplicate_field("method"));
                            }
                            method__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Body => {
                            if body__.is_some() {
                                return Err(serde::de::Error::duplicate_field("body"));
                            }
                            body__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Key => {
                            if key__.is_some() {
                                return Err(serde::de::Error::duplicate_field("key"));
                            }
                            key__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Idempotent => {
                            if idempotent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("idempotent"));
                            }
                            idempotent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::TimeoutMs => {
                            if timeout_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("timeoutMs"));
                            }
                            timeout_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Priority => {
                            if priority__.is_some() {
                                return Err(serde::de::Error::duplicate_field("priority"));
                            }
                            priority__ = Some(map_.next_value::<Priority>()? as i32);
                        }
                        GeneratedField::Caller => {
                            if caller__.is_some() {
                                return Err(serde::de::Error::duplicate_field("caller"));
                            }
                            caller__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CallRequest {
                    service: service__.unwrap_or_default(),
                    method: method__.unwrap_or_default(),
                    body: body__.unwrap_or_default(),
                    key: key__.unwrap_or_default(),
                    idempotent: idempotent__.unwrap_or_default(),
                    timeout_ms: timeout_ms__.unwrap_or_default(),
                    priority: priority__.unwrap_or_default(),
                    caller: caller__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.CallRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CallResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.body.is_empty() {
            len += 1;
        }
        if !self.request_id.is_empty() {
            len += 1;
        }
        if self.target != 0 {
            len += 1;
        }
        if self.recorded {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.CallResponse", len)?;
        if !self.body.is_empty() {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("body", pbjson::private::base64::encode(&self.body).as_str())?;
        }
        if !self.request_id.is_empty() {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        if self.target != 0 {
            struct_ser.serialize_field("target", &self.target)?;
        }
        if self.recorded {
            struct_ser.serialize_field("recorded", &self.recorded)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CallResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "body",
            "request_id",
            "requestId",
            "target",
            "recorded",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Body,
            RequestId,
            Target,
            Recorded,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "body" => Ok(GeneratedField::Body),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "target" => Ok(GeneratedField::Target),
                            "recorded" => Ok(GeneratedField::Recorded),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CallResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.CallResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CallResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut body__ = None;
                let mut request_id__ = None;
                let mut target__ = None;
                let mut recorded__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Body => {
                            if body__.is_some() {
                                return Err(serde::de::Error::duplicate_field("body"));
                            }
                            body__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Target => {
                            if target__.is_some() {
                                return Err(serde::de::Error::duplicate_field("target"));
                            }
                            target__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Recorded => {
                            if recorded__.is_some() {
                                return Err(serde::de::Error::duplicate_field("recorded"));
                            }
                            recorded__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CallResponse {
                    body: body__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                    target: target__.unwrap_or_default(),
                    recorded: recorded__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.CallResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CancelJobRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.CancelJobRequest", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CancelJobRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CancelJobRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.CancelJobRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CancelJobRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CancelJobRequest {
                    job_id: job_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.CancelJobRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CancelJobResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.job.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.CancelJobResponse", len)?;
        if let Some(v) = self.job.as_ref() {
            struct_ser.serialize_field("job", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CancelJobResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Job,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "job" => Ok(GeneratedField::Job),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CancelJobResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.CancelJobResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CancelJobResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Job => {
                            if job__.is_some() {
                                return Err(serde::de::Error::duplicate_field("job"));
                            }
                            job__ = map_.next_value()?;
                        }
                    }
                }
                Ok(CancelJobResponse {
                    job: job__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.CancelJobResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ConfigVersion {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.version != 0 {
            len += 1;
        }
        if !self.author.is_empty() {
            len += 1;
        }
        if !self.document.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ConfigVersion", len)?;
        if self.version != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if !self.author.is_empty() {
            struct_ser.serialize_field("author", &self.author)?;
        }
        if !self.document.is_empty() {
            struct_ser.serialize_field("document", &self.document)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ConfigVersion {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "version",
            "author",
            "document",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Version,
            Author,
            Document,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "version" => Ok(GeneratedField::Version),
                            "author" => Ok(GeneratedField::Author),
                            "document" => Ok(GeneratedField::Document),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ConfigVersion;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ConfigVersion")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ConfigVersion, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut version__ = None;
                let mut author__ = None;
                let mut document__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Author => {
                            if author__.is_some() {
                                return Err(serde::de::Error::duplicate_field("author"));
                            }
                            author__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Document => {
                            if document__.is_some() {
                                return Err(serde::de::Error::duplicate_field("document"));
                            }
                            document__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ConfigVersion {
                    version: version__.unwrap_or_default(),
                    author: author__.unwrap_or_default(),
                    document: document__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ConfigVersion", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for DrainVmRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("laburnum.v1.DrainVmRequest", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for DrainVmRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = DrainVmRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.DrainVmRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<DrainVmRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(DrainVmRequest {
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.DrainVmRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for DrainVmResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.in_flight != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.DrainVmResponse", len)?;
        if self.in_flight != 0 {
            struct_ser.serialize_field("inFlight", &self.in_flight)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for DrainVmResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "in_flight",
            "inFlight",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            InFlight,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "inFlight" | "in_flight" => Ok(GeneratedField::InFlight),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = DrainVmResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.DrainVmResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<DrainVmResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut in_flight__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::InFlight => {
                            if in_flight__.is_some() {
                                return Err(serde::de::Error::duplicate_field("inFlight"));
                            }
                            in_flight__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(DrainVmResponse {
                    in_flight: in_flight__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.DrainVmResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for DumpRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("laburnum.v1.DumpRequest", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for DumpRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = DumpRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.DumpRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<DumpRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(DumpRequest {
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.DumpRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for DumpResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.state.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.DumpResponse", len)?;
        if !self.state.is_empty() {
            struct_ser.serialize_field("state", &self.state)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for DumpResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "state",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            State,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "state" => Ok(GeneratedField::State),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = DumpResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.DumpResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<DumpResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut state__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(DumpResponse {
                    state: state__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.DumpResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Effect {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "EFFECT_UNSPECIFIED",
            Self::NotRun => "EFFECT_NOT_RUN",
            Self::Unknown => "EFFECT_UNKNOWN",
            Self::Ran => "EFFECT_RAN",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for Effect {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "EFFECT_UNSPECIFIED",
            "EFFECT_NOT_RUN",
            "EFFECT_UNKNOWN",
            "EFFECT_RAN",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = Effect;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "EFFECT_UNSPECIFIED" => Ok(Effect::Unspecified),
                    "EFFECT_NOT_RUN" => Ok(Effect::NotRun),
                    "EFFECT_UNKNOWN" => Ok(Effect::Unknown),
                    "EFFECT_RAN" => Ok(Effect::Ran),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for ErrorDetail {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.kind.is_empty() {
            len += 1;
        }
        if self.effect != 0 {
            len += 1;
        }
        if self.retryable {
            len += 1;
        }
        if self.retry_after_ms != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ErrorDetail", len)?;
        if !self.kind.is_empty() {
            struct_ser.serialize_field("kind", &self.kind)?;
        }
        if self.effect != 0 {
            let v = Effect::try_from(self.effect)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.effect)))?;
            struct_ser.serialize_field("effect", &v)?;
        }
        if self.retryable {
            struct_ser.serialize_field("retryable", &self.retryable)?;
        }
        if self.retry_after_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("retryAfterMs", ToString::to_string(&self.retry_after_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ErrorDetail {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "kind",
            "effect",
            "retryable",
            "retry_after_ms",
            "retryAfterMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Kind,
            Effect,
            Retryable,
            RetryAfterMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "kind" => Ok(GeneratedField::Kind),
                            "effect" => Ok(GeneratedField::Effect),
                            "retryable" => Ok(GeneratedField::Retryable),
                            "retryAfterMs" | "retry_after_ms" => Ok(GeneratedField::RetryAfterMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ErrorDetail;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ErrorDetail")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ErrorDetail, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut kind__ = None;
                let mut effect__ = None;
                let mut retryable__ = None;
                let mut retry_after_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Kind => {
                            if kind__.is_some() {
                                return Err(serde::de::Error::duplicate_field("kind"));
                            }
                            kind__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Effect => {
                            if effect__.is_some() {
                                return Err(serde::de::Error::duplicate_field("effect"));
                            }
                            effect__ = Some(map_.next_value::<Effect>()? as i32);
                        }
                        GeneratedField::Retryable => {
                            if retryable__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryable"));
                            }
                            retryable__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RetryAfterMs => {
                            if retry_after_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryAfterMs"));
                            }
                            retry_after_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(ErrorDetail {
                    kind: kind__.unwrap_or_default(),
                    effect: effect__.unwrap_or_default(),
                    retryable: retryable__.unwrap_or_default(),
                    retry_after_ms: retry_after_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ErrorDetail", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ExplainJobRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ExplainJobRequest", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ExplainJobRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ExplainJobRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ExplainJobRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ExplainJobRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ExplainJobRequest {
                    job_id: job_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ExplainJobRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ExplainJobResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        if !self.waiting_for.is_empty() {
            len += 1;
        }
        if !self.refusals.is_empty() {
            len += 1;
        }
        if self.position != 0 {
            len += 1;
        }
        if self.estimate_ms != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ExplainJobResponse", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        if !self.waiting_for.is_empty() {
            struct_ser.serialize_field("waitingFor", &self.waiting_for)?;
        }
        if !self.refusals.is_empty() {
            struct_ser.serialize_field("refusals", &self.refusals)?;
        }
        if self.position != 0 {
            struct_ser.serialize_field("position", &self.position)?;
        }
        if self.estimate_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("estimateMs", ToString::to_string(&self.estimate_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ExplainJobResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
            "waiting_for",
            "waitingFor",
            "refusals",
            "position",
            "estimate_ms",
            "estimateMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
            WaitingFor,
            Refusals,
            Position,
            EstimateMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            "waitingFor" | "waiting_for" => Ok(GeneratedField::WaitingFor),
                            "refusals" => Ok(GeneratedField::Refusals),
                            "position" => Ok(GeneratedField::Position),
                            "estimateMs" | "estimate_ms" => Ok(GeneratedField::EstimateMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ExplainJobResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ExplainJobResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ExplainJobResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                let mut waiting_for__ = None;
                let mut refusals__ = None;
                let mut position__ = None;
                let mut estimate_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::WaitingFor => {
                            if waiting_for__.is_some() {
                                return Err(serde::de::Error::duplicate_field("waitingFor"));
                            }
                            waiting_for__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Refusals => {
                            if refusals__.is_some() {
                                return Err(serde::de::Error::duplicate_field("refusals"));
                            }
                            refusals__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Position => {
                            if position__.is_some() {
                                return Err(serde::de::Error::duplicate_field("position"));
                            }
                            position__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EstimateMs => {
                            if estimate_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("estimateMs"));
                            }
                            estimate_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(ExplainJobResponse {
                    job_id: job_id__.unwrap_or_default(),
                    waiting_for: waiting_for__.unwrap_or_default(),
                    refusals: refusals__.unwrap_or_default(),
                    position: position__.unwrap_or_default(),
                    estimate_ms: estimate_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ExplainJobResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ExplainPlacementRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        if !self.queue.is_empty() {
            len += 1;
        }
        if !self.account.is_empty() {
            len += 1;
        }
        if !self.steps.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ExplainPlacementRequest", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        if !self.queue.is_empty() {
            struct_ser.serialize_field("queue", &self.queue)?;
        }
        if !self.account.is_empty() {
            struct_ser.serialize_field("account", &self.account)?;
        }
        if !self.steps.is_empty() {
            struct_ser.serialize_field("steps", &self.steps)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ExplainPlacementRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
            "queue",
            "account",
            "steps",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
            Queue,
            Account,
            Steps,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            "queue" => Ok(GeneratedField::Queue),
                            "account" => Ok(GeneratedField::Account),
                            "steps" => Ok(GeneratedField::Steps),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ExplainPlacementRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ExplainPlacementRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ExplainPlacementRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                let mut queue__ = None;
                let mut account__ = None;
                let mut steps__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Queue => {
                            if queue__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queue"));
                            }
                            queue__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Account => {
                            if account__.is_some() {
                                return Err(serde::de::Error::duplicate_field("account"));
                            }
                            account__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Steps => {
                            if steps__.is_some() {
                                return Err(serde::de::Error::duplicate_field("steps"));
                            }
                            steps__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ExplainPlacementRequest {
                    job_id: job_id__.unwrap_or_default(),
                    queue: queue__.unwrap_or_default(),
                    account: account__.unwrap_or_default(),
                    steps: steps__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ExplainPlacementRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ExplainPlacementResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.accepted {
            len += 1;
        }
        if !self.refusal.is_empty() {
            len += 1;
        }
        if self.retry_after_ms != 0 {
            len += 1;
        }
        if !self.steps.is_empty() {
            len += 1;
        }
        if self.steps_ahead != 0 {
            len += 1;
        }
        if self.cpu_millis_ahead != 0 {
            len += 1;
        }
        if self.claim_age_ms != 0 {
            len += 1;
        }
        if self.oldest_report_ms != 0 {
            len += 1;
        }
        if self.log_available {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ExplainPlacementResponse", len)?;
        if self.accepted {
            struct_ser.serialize_field("accepted", &self.accepted)?;
        }
        if !self.refusal.is_empty() {
            struct_ser.serialize_field("refusal", &self.refusal)?;
        }
        if self.retry_after_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("retryAfterMs", ToString::to_string(&self.retry_after_ms).as_str())?;
        }
        if !self.steps.is_empty() {
            struct_ser.serialize_field("steps", &self.steps)?;
        }
        if self.steps_ahead != 0 {
            struct_ser.serialize_field("stepsAhead", &self.steps_ahead)?;
        }
        if self.cpu_millis_ahead != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("cpuMillisAhead", ToString::to_string(&self.cpu_millis_ahead).as_str())?;
        }
        if self.claim_age_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("claimAgeMs", ToString::to_string(&self.claim_age_ms).as_str())?;
        }
        if self.oldest_report_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("oldestReportMs", ToString::to_string(&self.oldest_report_ms).as_str())?;
        }
        if self.log_available {
            struct_ser.serialize_field("logAvailable", &self.log_available)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ExplainPlacementResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "accepted",
            "refusal",
            "retry_after_ms",
            "retryAfterMs",
            "steps",
            "steps_ahead",
            "stepsAhead",
            "cpu_millis_ahead",
            "cpuMillisAhead",
            "claim_age_ms",
            "claimAgeMs",
            "oldest_report_ms",
            "oldestReportMs",
            "log_available",
            "logAvailable",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Accepted,
            Refusal,
            RetryAfterMs,
            Steps,
            StepsAhead,
            CpuMillisAhead,
            ClaimAgeMs,
            OldestReportMs,
            LogAvailable,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "accepted" => Ok(GeneratedField::Accepted),
                            "refusal" => Ok(GeneratedField::Refusal),
                            "retryAfterMs" | "retry_after_ms" => Ok(GeneratedField::RetryAfterMs),
                            "steps" => Ok(GeneratedField::Steps),
                            "stepsAhead" | "steps_ahead" => Ok(GeneratedField::StepsAhead),
                            "cpuMillisAhead" | "cpu_millis_ahead" => Ok(GeneratedField::CpuMillisAhead),
                            "claimAgeMs" | "claim_age_ms" => Ok(GeneratedField::ClaimAgeMs),
                            "oldestReportMs" | "oldest_report_ms" => Ok(GeneratedField::OldestReportMs),
                            "logAvailable" | "log_available" => Ok(GeneratedField::LogAvailable),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ExplainPlacementResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ExplainPlacementResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ExplainPlacementResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut accepted__ = None;
                let mut refusal__ = None;
                let mut retry_after_ms__ = None;
                let mut steps__ = None;
                let mut steps_ahead__ = None;
                let mut cpu_millis_ahead__ = None;
                let mut claim_age_ms__ = None;
                let mut oldest_report_ms__ = None;
                let mut log_available__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Accepted => {
                            if accepted__.is_some() {
                                return Err(serde::de::Error::duplicate_field("accepted"));
                            }
                            accepted__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Refusal => {
                            if refusal__.is_some() {
                                return Err(serde::de::Error::duplicate_field("refusal"));
                            }
                            refusal__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RetryAfterMs => {
                            if retry_after_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryAfterMs"));
                            }
                            retry_after_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Steps => {
                            if steps__.is_some() {
                                return Err(serde::de::Error::duplicate_field("steps"));
                            }
                            steps__ = Some(map_.next_value()?);
                        }
                        GeneratedField::StepsAhead => {
                            if steps_ahead__.is_some() {
                                return Err(serde::de::Error::duplicate_field("stepsAhead"));
                            }
                            steps_ahead__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::CpuMillisAhead => {
                            if cpu_millis_ahead__.is_some() {
                                return Err(serde::de::Error::duplicate_field("cpuMillisAhead"));
                            }
                            cpu_millis_ahead__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ClaimAgeMs => {
                            if claim_age_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("claimAgeMs"));
                            }
                            claim_age_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::OldestReportMs => {
                            if oldest_report_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("oldestReportMs"));
                            }
                            oldest_report_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LogAvailable => {
                            if log_available__.is_some() {
                                return Err(serde::de::Error::duplicate_field("logAvailable"));
                            }
                            log_available__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ExplainPlacementResponse {
                    accepted: accepted__.unwrap_or_default(),
                    refusal: refusal__.unwrap_or_default(),
                    retry_after_ms: retry_after_ms__.unwrap_or_default(),
                    steps: steps__.unwrap_or_default(),
                    steps_ahead: steps_ahead__.unwrap_or_default(),
                    cpu_millis_ahead: cpu_millis_ahead__.unwrap_or_default(),
                    claim_age_ms: claim_age_ms__.unwrap_or_default(),
                    oldest_report_ms: oldest_report_ms__.unwrap_or_default(),
                    log_available: log_available__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ExplainPlacementResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetConfigRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.version != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.GetConfigRequest", len)?;
        if self.version != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetConfigRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "version",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Version,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "version" => Ok(GeneratedField::Version),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetConfigRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.GetConfigRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetConfigRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut version__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(GetConfigRequest {
                    version: version__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.GetConfigRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetConfigResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.config.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.GetConfigResponse", len)?;
        if let Some(v) = self.config.as_ref() {
            struct_ser.serialize_field("config", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetConfigResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "config",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Config,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "config" => Ok(GeneratedField::Config),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetConfigResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.GetConfigResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetConfigResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut config__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Config => {
                            if config__.is_some() {
                                return Err(serde::de::Error::duplicate_field("config"));
                            }
                            config__ = map_.next_value()?;
                        }
                    }
                }
                Ok(GetConfigResponse {
                    config: config__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.GetConfigResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetJobRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.GetJobRequest", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetJobRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetJobRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.GetJobRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetJobRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetJobRequest {
                    job_id: job_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.GetJobRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetJobResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.job.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.GetJobResponse", len)?;
        if let Some(v) = self.job.as_ref() {
            struct_ser.serialize_field("job", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetJobResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Job,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "job" => Ok(GeneratedField::Job),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetJobResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.GetJobResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetJobResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Job => {
                            if job__.is_some() {
                                return Err(serde::de::Error::duplicate_field("job"));
                            }
                            job__ = map_.next_value()?;
                        }
                    }
                }
                Ok(GetJobResponse {
                    job: job__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.GetJobResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for JobClass {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "JOB_CLASS_UNSPECIFIED",
            Self::Urgent => "JOB_CLASS_URGENT",
            Self::Service => "JOB_CLASS_SERVICE",
            Self::Gang => "JOB_CLASS_GANG",
            Self::Batch => "JOB_CLASS_BATCH",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for JobClass {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "JOB_CLASS_UNSPECIFIED",
            "JOB_CLASS_URGENT",
            "JOB_CLASS_SERVICE",
            "JOB_CLASS_GANG",
            "JOB_CLASS_BATCH",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = JobClass;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "JOB_CLASS_UNSPECIFIED" => Ok(JobClass::Unspecified),
                    "JOB_CLASS_URGENT" => Ok(JobClass::Urgent),
                    "JOB_CLASS_SERVICE" => Ok(JobClass::Service),
                    "JOB_CLASS_GANG" => Ok(JobClass::Gang),
                    "JOB_CLASS_BATCH" => Ok(JobClass::Batch),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for JobSpec {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.class != 0 {
            len += 1;
        }
        if !self.team.is_empty() {
            len += 1;
        }
        if !self.family.is_empty() {
            len += 1;
        }
        if self.tasks != 0 {
            len += 1;
        }
        if self.size.is_some() {
            len += 1;
        }
        if !self.command.is_empty() {
            len += 1;
        }
        if self.run_time_ms != 0 {
            len += 1;
        }
        if self.max_attempts != 0 {
            len += 1;
        }
        if self.gang_timeout_ms != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.JobSpec", len)?;
        if self.class != 0 {
            let v = JobClass::try_from(self.class)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.class)))?;
            struct_ser.serialize_field("class", &v)?;
        }
        if !self.team.is_empty() {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if !self.family.is_empty() {
            struct_ser.serialize_field("family", &self.family)?;
        }
        if self.tasks != 0 {
            struct_ser.serialize_field("tasks", &self.tasks)?;
        }
        if let Some(v) = self.size.as_ref() {
            struct_ser.serialize_field("size", v)?;
        }
        if !self.command.is_empty() {
            struct_ser.serialize_field("command", &self.command)?;
        }
        if self.run_time_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("runTimeMs", ToString::to_string(&self.run_time_ms).as_str())?;
        }
        if self.max_attempts != 0 {
            struct_ser.serialize_field("maxAttempts", &self.max_attempts)?;
        }
        if self.gang_timeout_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("gangTimeoutMs", ToString::to_string(&self.gang_timeout_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for JobSpec {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "class",
            "team",
            "family",
            "tasks",
            "size",
            "command",
            "run_time_ms",
            "runTimeMs",
            "max_attempts",
            "maxAttempts",
            "gang_timeout_ms",
            "gangTimeoutMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Class,
            Team,
            Family,
            Tasks,
            Size,
            Command,
            RunTimeMs,
            MaxAttempts,
            GangTimeoutMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "class" => Ok(GeneratedField::Class),
                            "team" => Ok(GeneratedField::Team),
                            "family" => Ok(GeneratedField::Family),
                            "tasks" => Ok(GeneratedField::Tasks),
                            "size" => Ok(GeneratedField::Size),
                            "command" => Ok(GeneratedField::Command),
                            "runTimeMs" | "run_time_ms" => Ok(GeneratedField::RunTimeMs),
                            "maxAttempts" | "max_attempts" => Ok(GeneratedField::MaxAttempts),
                            "gangTimeoutMs" | "gang_timeout_ms" => Ok(GeneratedField::GangTimeoutMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = JobSpec;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.JobSpec")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<JobSpec, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut class__ = None;
                let mut team__ = None;
                let mut family__ = None;
                let mut tasks__ = None;
                let mut size__ = None;
                let mut command__ = None;
                let mut run_time_ms__ = None;
                let mut max_attempts__ = None;
                let mut gang_timeout_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Class => {
                            if class__.is_some() {
                                return Err(serde::de::Error::duplicate_field("class"));
                            }
                            class__ = Some(map_.next_value::<JobClass>()? as i32);
                        }
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Family => {
                            if family__.is_some() {
                                return Err(serde::de::Error::duplicate_field("family"));
                            }
                            family__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Tasks => {
                            if tasks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tasks"));
                            }
                            tasks__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Size => {
                            if size__.is_some() {
                                return Err(serde::de::Error::duplicate_field("size"));
                            }
                            size__ = map_.next_value()?;
                        }
                        GeneratedField::Command => {
                            if command__.is_some() {
                                return Err(serde::de::Error::duplicate_field("command"));
                            }
                            command__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RunTimeMs => {
                            if run_time_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("runTimeMs"));
                            }
                            run_time_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxAttempts => {
                            if max_attempts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxAttempts"));
                            }
                            max_attempts__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::GangTimeoutMs => {
                            if gang_timeout_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("gangTimeoutMs"));
                            }
                            gang_timeout_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(JobSpec {
                    class: class__.unwrap_or_default(),
                    team: team__.unwrap_or_default(),
                    family: family__.unwrap_or_default(),
                    tasks: tasks__.unwrap_or_default(),
                    size: size__,
                    command: command__.unwrap_or_default(),
                    run_time_ms: run_time_ms__.unwrap_or_default(),
                    max_attempts: max_attempts__.unwrap_or_default(),
                    gang_timeout_ms: gang_timeout_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.JobSpec", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for JobState {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "JOB_STATE_UNSPECIFIED",
            Self::Pending => "JOB_STATE_PENDING",
            Self::Running => "JOB_STATE_RUNNING",
            Self::Succeeded => "JOB_STATE_SUCCEEDED",
            Self::Failed => "JOB_STATE_FAILED",
            Self::Cancelled => "JOB_STATE_CANCELLED",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for JobState {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "JOB_STATE_UNSPECIFIED",
            "JOB_STATE_PENDING",
            "JOB_STATE_RUNNING",
            "JOB_STATE_SUCCEEDED",
            "JOB_STATE_FAILED",
            "JOB_STATE_CANCELLED",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = JobState;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "JOB_STATE_UNSPECIFIED" => Ok(JobState::Unspecified),
                    "JOB_STATE_PENDING" => Ok(JobState::Pending),
                    "JOB_STATE_RUNNING" => Ok(JobState::Running),
                    "JOB_STATE_SUCCEEDED" => Ok(JobState::Succeeded),
                    "JOB_STATE_FAILED" => Ok(JobState::Failed),
                    "JOB_STATE_CANCELLED" => Ok(JobState::Cancelled),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for JobStatus {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        if self.spec.is_some() {
            len += 1;
        }
        if self.state != 0 {
            len += 1;
        }
        if !self.reason.is_empty() {
            len += 1;
        }
        if self.revision != 0 {
            len += 1;
        }
        if !self.tasks.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.JobStatus", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        if let Some(v) = self.spec.as_ref() {
            struct_ser.serialize_field("spec", v)?;
        }
        if self.state != 0 {
            let v = JobState::try_from(self.state)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.state)))?;
            struct_ser.serialize_field("state", &v)?;
        }
        if !self.reason.is_empty() {
            struct_ser.serialize_field("reason", &self.reason)?;
        }
        if self.revision != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("revision", ToString::to_string(&self.revision).as_str())?;
        }
        if !self.tasks.is_empty() {
            struct_ser.serialize_field("tasks", &self.tasks)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for JobStatus {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
            "spec",
            "state",
            "reason",
            "revision",
            "tasks",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
            Spec,
            State,
            Reason,
            Revision,
            Tasks,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            "spec" => Ok(GeneratedField::Spec),
                            "state" => Ok(GeneratedField::State),
                            "reason" => Ok(GeneratedField::Reason),
                            "revision" => Ok(GeneratedField::Revision),
                            "tasks" => Ok(GeneratedField::Tasks),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = JobStatus;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.JobStatus")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<JobStatus, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                let mut spec__ = None;
                let mut state__ = None;
                let mut reason__ = None;
                let mut revision__ = None;
                let mut tasks__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Spec => {
                            if spec__.is_some() {
                                return Err(serde::de::Error::duplicate_field("spec"));
                            }
                            spec__ = map_.next_value()?;
                        }
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value::<JobState>()? as i32);
                        }
                        GeneratedField::Reason => {
                            if reason__.is_some() {
                                return Err(serde::de::Error::duplicate_field("reason"));
                            }
                            reason__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Revision => {
                            if revision__.is_some() {
                                return Err(serde::de::Error::duplicate_field("revision"));
                            }
                            revision__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Tasks => {
                            if tasks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tasks"));
                            }
                            tasks__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(JobStatus {
                    job_id: job_id__.unwrap_or_default(),
                    spec: spec__,
                    state: state__.unwrap_or_default(),
                    reason: reason__.unwrap_or_default(),
                    revision: revision__.unwrap_or_default(),
                    tasks: tasks__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.JobStatus", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListConfigRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("laburnum.v1.ListConfigRequest", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListConfigRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListConfigRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListConfigRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListConfigRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(ListConfigRequest {
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListConfigRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListConfigResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.versions.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ListConfigResponse", len)?;
        if !self.versions.is_empty() {
            struct_ser.serialize_field("versions", &self.versions)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListConfigResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "versions",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Versions,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "versions" => Ok(GeneratedField::Versions),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListConfigResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListConfigResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListConfigResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut versions__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Versions => {
                            if versions__.is_some() {
                                return Err(serde::de::Error::duplicate_field("versions"));
                            }
                            versions__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ListConfigResponse {
                    versions: versions__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListConfigResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListJobsRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.team.is_empty() {
            len += 1;
        }
        if self.ended {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ListJobsRequest", len)?;
        if !self.team.is_empty() {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if self.ended {
            struct_ser.serialize_field("ended", &self.ended)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListJobsRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "ended",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Ended,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "ended" => Ok(GeneratedField::Ended),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListJobsRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListJobsRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListJobsRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut ended__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Ended => {
                            if ended__.is_some() {
                                return Err(serde::de::Error::duplicate_field("ended"));
                            }
                            ended__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ListJobsRequest {
                    team: team__.unwrap_or_default(),
                    ended: ended__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListJobsRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListJobsResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.jobs.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ListJobsResponse", len)?;
        if !self.jobs.is_empty() {
            struct_ser.serialize_field("jobs", &self.jobs)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListJobsResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "jobs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Jobs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobs" => Ok(GeneratedField::Jobs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListJobsResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListJobsResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListJobsResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut jobs__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Jobs => {
                            if jobs__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobs"));
                            }
                            jobs__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ListJobsResponse {
                    jobs: jobs__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListJobsResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListQuotasRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("laburnum.v1.ListQuotasRequest", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListQuotasRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListQuotasRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListQuotasRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListQuotasRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(ListQuotasRequest {
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListQuotasRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListQuotasResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.quotas.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ListQuotasResponse", len)?;
        if !self.quotas.is_empty() {
            struct_ser.serialize_field("quotas", &self.quotas)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListQuotasResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "quotas",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Quotas,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "quotas" => Ok(GeneratedField::Quotas),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListQuotasResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListQuotasResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListQuotasResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut quotas__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Quotas => {
                            if quotas__.is_some() {
                                return Err(serde::de::Error::duplicate_field("quotas"));
                            }
                            quotas__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ListQuotasResponse {
                    quotas: quotas__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListQuotasResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListVmsRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("laburnum.v1.ListVmsRequest", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListVmsRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListVmsRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListVmsRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListVmsRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(ListVmsRequest {
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListVmsRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ListVmsResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.vms.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.ListVmsResponse", len)?;
        if !self.vms.is_empty() {
            struct_ser.serialize_field("vms", &self.vms)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ListVmsResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "vms",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Vms,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "vms" => Ok(GeneratedField::Vms),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ListVmsResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.ListVmsResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ListVmsResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut vms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Vms => {
                            if vms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("vms"));
                            }
                            vms__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ListVmsResponse {
                    vms: vms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.ListVmsResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PlacementStep {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.tasks != 0 {
            len += 1;
        }
        if self.need.is_some() {
            len += 1;
        }
        if self.estimate_ms != 0 {
            len += 1;
        }
        if !self.after.is_empty() {
            len += 1;
        }
        if self.gang {
            len += 1;
        }
        if self.checkpoints {
            len += 1;
        }
        if self.same_rack {
            len += 1;
        }
        if !self.label.is_empty() {
            len += 1;
        }
        if !self.data_rack.is_empty() {
            len += 1;
        }
        if self.max_per_worker != 0 {
            len += 1;
        }
        if self.long_running {
            len += 1;
        }
        if self.fills {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.PlacementStep", len)?;
        if self.tasks != 0 {
            struct_ser.serialize_field("tasks", &self.tasks)?;
        }
        if let Some(v) = self.need.as_ref() {
            struct_ser.serialize_field("need", v)?;
        }
        if self.estimate_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("estimateMs", ToString::to_string(&self.estimate_ms).as_str())?;
        }
        if !self.after.is_empty() {
            struct_ser.serialize_field("after", &self.after)?;
        }
        if self.gang {
            struct_ser.serialize_field("gang", &self.gang)?;
        }
        if self.checkpoints {
            struct_ser.serialize_field("checkpoints", &self.checkpoints)?;
        }
        if self.same_rack {
            struct_ser.serialize_field("sameRack", &self.same_rack)?;
        }
        if !self.label.is_empty() {
            struct_ser.serialize_field("label", &self.label)?;
        }
        if !self.data_rack.is_empty() {
            struct_ser.serialize_field("dataRack", &self.data_rack)?;
        }
        if self.max_per_worker != 0 {
            struct_ser.serialize_field("maxPerWorker", &self.max_per_worker)?;
        }
        if self.long_running {
            struct_ser.serialize_field("longRunning", &self.long_running)?;
        }
        if self.fills {
            struct_ser.serialize_field("fills", &self.fills)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PlacementStep {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "tasks",
            "need",
            "estimate_ms",
            "estimateMs",
            "after",
            "gang",
            "checkpoints",
            "same_rack",
            "sameRack",
            "label",
            "data_rack",
            "dataRack",
            "max_per_worker",
            "maxPerWorker",
            "long_running",
            "longRunning",
            "fills",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Tasks,
            Need,
            EstimateMs,
            After,
            Gang,
            Checkpoints,
            SameRack,
            Label,
            DataRack,
            MaxPerWorker,
            LongRunning,
            Fills,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "tasks" => Ok(GeneratedField::Tasks),
                            "need" => Ok(GeneratedField::Need),
                            "estimateMs" | "estimate_ms" => Ok(GeneratedField::EstimateMs),
                            "after" => Ok(GeneratedField::After),
                            "gang" => Ok(GeneratedField::Gang),
                            "checkpoints" => Ok(GeneratedField::Checkpoints),
                            "sameRack" | "same_rack" => Ok(GeneratedField::SameRack),
                            "label" => Ok(GeneratedField::Label),
                            "dataRack" | "data_rack" => Ok(GeneratedField::DataRack),
                            "maxPerWorker" | "max_per_worker" => Ok(GeneratedField::MaxPerWorker),
                            "longRunning" | "long_running" => Ok(GeneratedField::LongRunning),
                            "fills" => Ok(GeneratedField::Fills),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PlacementStep;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.PlacementStep")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PlacementStep, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut tasks__ = None;
                let mut need__ = None;
                let mut estimate_ms__ = None;
                let mut after__ = None;
                let mut gang__ = None;
                let mut checkpoints__ = None;
                let mut same_rack__ = None;
                let mut label__ = None;
                let mut data_rack__ = None;
                let mut max_per_worker__ = None;
                let mut long_running__ = None;
                let mut fills__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Tasks => {
                            if tasks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tasks"));
                            }
                            tasks__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Need => {
                            if need__.is_some() {
                                return Err(serde::de::Error::duplicate_field("need"));
                            }
                            need__ = map_.next_value()?;
                        }
                        GeneratedField::EstimateMs => {
                            if estimate_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("estimateMs"));
                            }
                            estimate_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::After => {
                            if after__.is_some() {
                                return Err(serde::de::Error::duplicate_field("after"));
                            }
                            after__ = 
                                Some(map_.next_value::<Vec<::pbjson::private::NumberDeserialize<_>>>()?
                                    .into_iter().map(|x| x.0).collect())
                            ;
                        }
                        GeneratedField::Gang => {
                            if gang__.is_some() {
                                return Err(serde::de::Error::duplicate_field("gang"));
                            }
                            gang__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Checkpoints => {
                            if checkpoints__.is_some() {
                                return Err(serde::de::Error::duplicate_field("checkpoints"));
                            }
                            checkpoints__ = Some(map_.next_value()?);
                        }
                        GeneratedField::SameRack => {
                            if same_rack__.is_some() {
                                return Err(serde::de::Error::duplicate_field("sameRack"));
                            }
                            same_rack__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Label => {
                            if label__.is_some() {
                                return Err(serde::de::Error::duplicate_field("label"));
                            }
                            label__ = Some(map_.next_value()?);
                        }
                        GeneratedField::DataRack => {
                            if data_rack__.is_some() {
                                return Err(serde::de::Error::duplicate_field("dataRack"));
                            }
                            data_rack__ = Some(map_.next_value()?);
                        }
                        GeneratedField::MaxPerWorker => {
                            if max_per_worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxPerWorker"));
                            }
                            max_per_worker__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LongRunning => {
                            if long_running__.is_some() {
                                return Err(serde::de::Error::duplicate_field("longRunning"));
                            }
                            long_running__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Fills => {
                            if fills__.is_some() {
                                return Err(serde::de::Error::duplicate_field("fills"));
                            }
                            fills__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(PlacementStep {
                    tasks: tasks__.unwrap_or_default(),
                    need: need__,
                    estimate_ms: estimate_ms__.unwrap_or_default(),
                    after: after__.unwrap_or_default(),
                    gang: gang__.unwrap_or_default(),
                    checkpoints: checkpoints__.unwrap_or_default(),
                    same_rack: same_rack__.unwrap_or_default(),
                    label: label__.unwrap_or_default(),
                    data_rack: data_rack__.unwrap_or_default(),
                    max_per_worker: max_per_worker__.unwrap_or_default(),
                    long_running: long_running__.unwrap_or_default(),
                    fills: fills__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.PlacementStep", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Priority {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "PRIORITY_UNSPECIFIED",
            Self::Lookup => "PRIORITY_LOOKUP",
            Self::Normal => "PRIORITY_NORMAL",
            Self::Bulk => "PRIORITY_BULK",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for Priority {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "PRIORITY_UNSPECIFIED",
            "PRIORITY_LOOKUP",
            "PRIORITY_NORMAL",
            "PRIORITY_BULK",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = Priority;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "PRIORITY_UNSPECIFIED" => Ok(Priority::Unspecified),
                    "PRIORITY_LOOKUP" => Ok(Priority::Lookup),
                    "PRIORITY_NORMAL" => Ok(Priority::Normal),
                    "PRIORITY_BULK" => Ok(Priority::Bulk),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for PutConfigRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.base_version != 0 {
            len += 1;
        }
        if !self.author.is_empty() {
            len += 1;
        }
        if !self.document.is_empty() {
            len += 1;
        }
        if !self.patch.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.PutConfigRequest", len)?;
        if self.base_version != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("baseVersion", ToString::to_string(&self.base_version).as_str())?;
        }
        if !self.author.is_empty() {
            struct_ser.serialize_field("author", &self.author)?;
        }
        if !self.document.is_empty() {
            struct_ser.serialize_field("document", &self.document)?;
        }
        if !self.patch.is_empty() {
            struct_ser.serialize_field("patch", &self.patch)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PutConfigRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "base_version",
            "baseVersion",
            "author",
            "document",
            "patch",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            BaseVersion,
            Author,
            Document,
            Patch,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "baseVersion" | "base_version" => Ok(GeneratedField::BaseVersion),
                            "author" => Ok(GeneratedField::Author),
                            "document" => Ok(GeneratedField::Document),
                            "patch" => Ok(GeneratedField::Patch),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PutConfigRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.PutConfigRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PutConfigRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut base_version__ = None;
                let mut author__ = None;
                let mut document__ = None;
                let mut patch__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::BaseVersion => {
                            if base_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("baseVersion"));
                            }
                            base_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Author => {
                            if author__.is_some() {
                                return Err(serde::de::Error::duplicate_field("author"));
                            }
                            author__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Document => {
                            if document__.is_some() {
                                return Err(serde::de::Error::duplicate_field("document"));
                            }
                            document__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Patch => {
                            if patch__.is_some() {
                                return Err(serde::de::Error::duplicate_field("patch"));
                            }
                            patch__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(PutConfigRequest {
                    base_version: base_version__.unwrap_or_default(),
                    author: author__.unwrap_or_default(),
                    document: document__.unwrap_or_default(),
                    patch: patch__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.PutConfigRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PutConfigResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.version != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.PutConfigResponse", len)?;
        if self.version != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PutConfigResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "version",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Version,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "version" => Ok(GeneratedField::Version),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PutConfigResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.PutConfigResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PutConfigResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut version__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(PutConfigResponse {
                    version: version__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.PutConfigResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for QuotaStatus {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.team.is_empty() {
            len += 1;
        }
        if self.quota.is_some() {
            len += 1;
        }
        if self.used.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.QuotaStatus", len)?;
        if !self.team.is_empty() {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if let Some(v) = self.quota.as_ref() {
            struct_ser.serialize_field("quota", v)?;
        }
        if let Some(v) = self.used.as_ref() {
            struct_ser.serialize_field("used", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for QuotaStatus {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "quota",
            "used",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Quota,
            Used,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "quota" => Ok(GeneratedField::Quota),
                            "used" => Ok(GeneratedField::Used),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = QuotaStatus;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.QuotaStatus")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<QuotaStatus, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut quota__ = None;
                let mut used__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Quota => {
                            if quota__.is_some() {
                                return Err(serde::de::Error::duplicate_field("quota"));
                            }
                            quota__ = map_.next_value()?;
                        }
                        GeneratedField::Used => {
                            if used__.is_some() {
                                return Err(serde::de::Error::duplicate_field("used"));
                            }
                            used__ = map_.next_value()?;
                        }
                    }
                }
                Ok(QuotaStatus {
                    team: team__.unwrap_or_default(),
                    quota: quota__,
                    used: used__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.QuotaStatus", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Refusal {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.filter.is_empty() {
            len += 1;
        }
        if self.workers != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.Refusal", len)?;
        if !self.filter.is_empty() {
            struct_ser.serialize_field("filter", &self.filter)?;
        }
        if self.workers != 0 {
            struct_ser.serialize_field("workers", &self.workers)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Refusal {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "filter",
            "workers",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Filter,
            Workers,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "filter" => Ok(GeneratedField::Filter),
                            "workers" => Ok(GeneratedField::Workers),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Refusal;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.Refusal")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Refusal, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut filter__ = None;
                let mut workers__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Filter => {
                            if filter__.is_some() {
                                return Err(serde::de::Error::duplicate_field("filter"));
                            }
                            filter__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Workers => {
                            if workers__.is_some() {
                                return Err(serde::de::Error::duplicate_field("workers"));
                            }
                            workers__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Refusal {
                    filter: filter__.unwrap_or_default(),
                    workers: workers__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.Refusal", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for StepOutlook {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.step != 0 {
            len += 1;
        }
        if self.waiting != 0 {
            len += 1;
        }
        if self.running != 0 {
            len += 1;
        }
        if self.done != 0 {
            len += 1;
        }
        if !self.decision.is_empty() {
            len += 1;
        }
        if !self.reason.is_empty() {
            len += 1;
        }
        if !self.placements.is_empty() {
            len += 1;
        }
        if !self.workers.is_empty() {
            len += 1;
        }
        if self.starts_in_ms.is_some() {
            len += 1;
        }
        if self.ends_in_ms.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.StepOutlook", len)?;
        if self.step != 0 {
            struct_ser.serialize_field("step", &self.step)?;
        }
        if self.waiting != 0 {
            struct_ser.serialize_field("waiting", &self.waiting)?;
        }
        if self.running != 0 {
            struct_ser.serialize_field("running", &self.running)?;
        }
        if self.done != 0 {
            struct_ser.serialize_field("done", &self.done)?;
        }
        if !self.decision.is_empty() {
            struct_ser.serialize_field("decision", &self.decision)?;
        }
        if !self.reason.is_empty() {
            struct_ser.serialize_field("reason", &self.reason)?;
        }
        if !self.placements.is_empty() {
            struct_ser.serialize_field("placements", &self.placements)?;
        }
        if !self.workers.is_empty() {
            struct_ser.serialize_field("workers", &self.workers)?;
        }
        if let Some(v) = self.starts_in_ms.as_ref() {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("startsInMs", ToString::to_string(&v).as_str())?;
        }
        if let Some(v) = self.ends_in_ms.as_ref() {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("endsInMs", ToString::to_string(&v).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for StepOutlook {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "step",
            "waiting",
            "running",
            "done",
            "decision",
            "reason",
            "placements",
            "workers",
            "starts_in_ms",
            "startsInMs",
            "ends_in_ms",
            "endsInMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Step,
            Waiting,
            Running,
            Done,
            Decision,
            Reason,
            Placements,
            Workers,
            StartsInMs,
            EndsInMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "step" => Ok(GeneratedField::Step),
                            "waiting" => Ok(GeneratedField::Waiting),
                            "running" => Ok(GeneratedField::Running),
                            "done" => Ok(GeneratedField::Done),
                            "decision" => Ok(GeneratedField::Decision),
                            "reason" => Ok(GeneratedField::Reason),
                            "placements" => Ok(GeneratedField::Placements),
                            "workers" => Ok(GeneratedField::Workers),
                            "startsInMs" | "starts_in_ms" => Ok(GeneratedField::StartsInMs),
                            "endsInMs" | "ends_in_ms" => Ok(GeneratedField::EndsInMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = StepOutlook;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.StepOutlook")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<StepOutlook, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut step__ = None;
                let mut waiting__ = None;
                let mut running__ = None;
                let mut done__ = None;
                let mut decision__ = None;
                let mut reason__ = None;
                let mut placements__ = None;
                let mut workers__ = None;
                let mut starts_in_ms__ = None;
                let mut ends_in_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Step => {
                            if step__.is_some() {
                                return Err(serde::de::Error::duplicate_field("step"));
                            }
                            step__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Waiting => {
                            if waiting__.is_some() {
                                return Err(serde::de::Error::duplicate_field("waiting"));
                            }
                            waiting__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Running => {
                            if running__.is_some() {
                                return Err(serde::de::Error::duplicate_field("running"));
                            }
                            running__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Done => {
                            if done__.is_some() {
                                return Err(serde::de::Error::duplicate_field("done"));
                            }
                            done__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Decision => {
                            if decision__.is_some() {
                                return Err(serde::de::Error::duplicate_field("decision"));
                            }
                            decision__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Reason => {
                            if reason__.is_some() {
                                return Err(serde::de::Error::duplicate_field("reason"));
                            }
                            reason__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Placements => {
                            if placements__.is_some() {
                                return Err(serde::de::Error::duplicate_field("placements"));
                            }
                            placements__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Workers => {
                            if workers__.is_some() {
                                return Err(serde::de::Error::duplicate_field("workers"));
                            }
                            workers__ = Some(map_.next_value()?);
                        }
                        GeneratedField::StartsInMs => {
                            if starts_in_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("startsInMs"));
                            }
                            starts_in_ms__ = 
                                map_.next_value::<::std::option::Option<::pbjson::private::NumberDeserialize<_>>>()?.map(|x| x.0)
                            ;
                        }
                        GeneratedField::EndsInMs => {
                            if ends_in_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("endsInMs"));
                            }
                            ends_in_ms__ = 
                                map_.next_value::<::std::option::Option<::pbjson::private::NumberDeserialize<_>>>()?.map(|x| x.0)
                            ;
                        }
                    }
                }
                Ok(StepOutlook {
                    step: step__.unwrap_or_default(),
                    waiting: waiting__.unwrap_or_default(),
                    running: running__.unwrap_or_default(),
                    done: done__.unwrap_or_default(),
                    decision: decision__.unwrap_or_default(),
                    reason: reason__.unwrap_or_default(),
                    placements: placements__.unwrap_or_default(),
                    workers: workers__.unwrap_or_default(),
                    starts_in_ms: starts_in_ms__,
                    ends_in_ms: ends_in_ms__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.StepOutlook", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for SubmitJobRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.key.is_empty() {
            len += 1;
        }
        if self.spec.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.SubmitJobRequest", len)?;
        if !self.key.is_empty() {
            struct_ser.serialize_field("key", &self.key)?;
        }
        if let Some(v) = self.spec.as_ref() {
            struct_ser.serialize_field("spec", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for SubmitJobRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "key",
            "spec",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Key,
            Spec,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "key" => Ok(GeneratedField::Key),
                            "spec" => Ok(GeneratedField::Spec),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = SubmitJobRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.SubmitJobRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SubmitJobRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut key__ = None;
                let mut spec__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Key => {
                            if key__.is_some() {
                                return Err(serde::de::Error::duplicate_field("key"));
                            }
                            key__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Spec => {
                            if spec__.is_some() {
                                return Err(serde::de::Error::duplicate_field("spec"));
                            }
                            spec__ = map_.next_value()?;
                        }
                    }
                }
                Ok(SubmitJobRequest {
                    key: key__.unwrap_or_default(),
                    spec: spec__,
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.SubmitJobRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for SubmitJobResponse {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.job_id.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.SubmitJobResponse", len)?;
        if !self.job_id.is_empty() {
            struct_ser.serialize_field("jobId", &self.job_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for SubmitJobResponse {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "job_id",
            "jobId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            JobId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "jobId" | "job_id" => Ok(GeneratedField::JobId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = SubmitJobResponse;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.SubmitJobResponse")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SubmitJobResponse, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut job_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::JobId => {
                            if job_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("jobId"));
                            }
                            job_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(SubmitJobResponse {
                    job_id: job_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.SubmitJobResponse", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for TaskPlacement {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.worker.is_empty() {
            len += 1;
        }
        if self.tasks != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.TaskPlacement", len)?;
        if !self.worker.is_empty() {
            struct_ser.serialize_field("worker", &self.worker)?;
        }
        if self.tasks != 0 {
            struct_ser.serialize_field("tasks", &self.tasks)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for TaskPlacement {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "worker",
            "tasks",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Worker,
            Tasks,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "worker" => Ok(GeneratedField::Worker),
                            "tasks" => Ok(GeneratedField::Tasks),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = TaskPlacement;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct laburnum.v1.TaskPlacement")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<TaskPlacement, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut worker__ = None;
                let mut tasks__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Worker => {
                            if worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("worker"));
                            }
                            worker__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Tasks => {
                            if tasks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tasks"));
                            }
                            tasks__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(TaskPlacement {
                    worker: worker__.unwrap_or_default(),
                    tasks: tasks__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("laburnum.v1.TaskPlacement", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for TaskStatus {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.index != 0 {
            len += 1;
        }
        if !self.state.is_empty() {
            len += 1;
        }
        if self.attempt != 0 {
            len += 1;
        }
        if self.worker != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("laburnum.v1.TaskStatus", len)?;
        if self.index != 0 {
            struct_ser.serialize_field("index", &self.index)?;
        }
        if !self.state.is_empty() {
            struct_ser.serialize_field("state", &self.state)?;
        }
        if self.attempt != 0 {
            struct_ser.serialize_field("attempt", &self.attempt)?;
        }
        if self.worker != 0 {
            struct_ser.serialize_field("worker", &self.worker)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for TaskStatus {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "index",
            "state",
            "attempt",
            "worker",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Index,
            State,
            Attempt,
            Worker,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "index" => Ok(GeneratedField::Index),
                            "state" => Ok(GeneratedField::State),
                            "attempt" => Ok(GeneratedField::Attempt),
